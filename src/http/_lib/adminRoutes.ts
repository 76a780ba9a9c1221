import * as neverthrow from "neverthrow";
import * as zod from "zod";

import * as stepError from "../../_lib/stepError/index.js";
import * as catalogue from "../../catalogue/index.js";
import type * as adminTypes from "../adminTypes.js";
import * as errors from "./errors.js";

/** One request to the operators' port. */
export interface AdminRequest {
  readonly operations: adminTypes.AdminOperations;
  readonly operator: string;
  readonly params: Readonly<Record<string, string>>;
  readonly payload: Uint8Array | null;
}

type Answer = neverthrow.Result<unknown, stepError.StepError>;

/** One route of the operators' port. */
export interface AdminRoute {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly answer: (request: AdminRequest) => Promise<Answer>;
}

const CHANGE_SCHEMA = zod.strictObject({
  changeId: zod.string().min(1),
  kind: zod.enum(catalogue.ItemKind),
  name: zod.string().min(1),
  baseRevision: zod.int().nonnegative().nullable(),
  /** Checked whole by the catalogue, by the rule that every VM applies. */
  item: zod.looseObject({ kind: zod.enum(catalogue.ItemKind), name: zod.string() }).nullable(),
});

/** All routes of the operators' port. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  get("/v1/vm", ({ operations }) => operations.describeVm()),
  get("/v1/items", ({ operations }) => operations.listItems()),
  getResult("/v1/nodes", ({ operations }) => operations.listNodes()),
  getResult("/v1/backends", ({ operations }) => operations.listBackends()),
  getResult("/v1/queue", ({ operations }) => operations.listQueue()),
  getResult("/v1/burn", ({ operations }) => operations.gatherBurn()),
  getResult("/v1/requests/{id}/trace", ({ operations, params }) =>
    operations.explainRequest(params.id ?? ""),
  ),
  getResult("/v1/engines/{name}", ({ operations, params }) =>
    operations.explainEngine(params.name ?? ""),
  ),
  { method: "GET", path: "/v1/items/{kind}/{name}/history", answer: readHistory },
  { method: "POST", path: "/v1/changes", answer: proposeChange },
];

function get(path: string, answer: (request: AdminRequest) => unknown): AdminRoute {
  return {
    method: "GET",
    path,
    answer: (request) => Promise.resolve(neverthrow.ok(answer(request))),
  };
}

function getResult(path: string, answer: (request: AdminRequest) => Promise<Answer>): AdminRoute {
  return { method: "GET", path, answer };
}

async function readHistory({ operations, params }: AdminRequest): Promise<Answer> {
  const kind = zod.enum(catalogue.ItemKind).safeParse(params.kind);
  if (!kind.success) return neverthrow.err(invalid(`unknown kind "${params.kind ?? ""}"`));
  return operations.readHistory(kind.data, params.name ?? "");
}

async function proposeChange(request: AdminRequest): Promise<Answer> {
  const change = parseChange(request.payload);
  if (change.isErr()) return neverthrow.err(change.error);
  return request.operations.proposeChange(change.value, request.operator);
}

function parseChange(
  payload: Uint8Array | null,
): neverthrow.Result<adminTypes.ProposedChange, stepError.StepError> {
  let body: unknown;
  try {
    body = JSON.parse(Buffer.from(payload ?? []).toString("utf8"));
  } catch {
    return neverthrow.err(invalid("the body is not JSON"));
  }
  const checked = CHANGE_SCHEMA.safeParse(body);
  if (!checked.success) return neverthrow.err(invalid(zod.prettifyError(checked.error)));
  return neverthrow.ok(checked.data as unknown as adminTypes.ProposedChange);
}

function invalid(message: string): stepError.StepError {
  return errors.refuse(stepError.ErrorCode.InvalidRequest, "admin.parse", message);
}
