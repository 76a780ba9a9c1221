import * as https from "node:https";

import Wreck from "@hapi/wreck";
import * as zod from "zod";

import * as stepError from "../../_lib/stepError/index.js";
import type * as http from "../../http/index.js";
import type * as catalogue from "../../catalogue/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as cliErrors from "../_lib/cliError.js";
import * as constants from "../constants.js";

/** Address of a daemon's admin port, and the credentials for it. */
export interface AdminClientOptions {
  readonly url: string;
  readonly key: string;
  /** Trusted certificates, PEM. */
  readonly ca?: string;
  readonly timeoutMs?: number;
}

const PROBLEM_SCHEMA = zod.looseObject({
  type: zod.string(),
  detail: zod.string(),
  step: zod.string(),
  peer: zod.string().optional(),
  execution: zod.enum(stepError.ExecutionState),
});

const PROBLEM_TYPE_PREFIX = "urn:chiveferry:problem:";

/**
 * Client of one daemon's admin port. Each method throws a `CliError` that names the step and the
 * peer if the request fails.
 */
export class AdminClient {
  constructor(private readonly options: AdminClientOptions) {}

  describeVm(): Promise<http.VmDescription> {
    return this.get("/v1/vm");
  }

  listItems(): Promise<readonly catalogue.RevisedItem[]> {
    return this.get("/v1/items");
  }

  listNodes(): Promise<http.Gathered<readonly http.NodeDescription[]>> {
    return this.get("/v1/nodes");
  }

  listBackends(): Promise<http.Gathered<readonly http.BackendDescription[]>> {
    return this.get("/v1/backends");
  }

  listQueue(): Promise<http.Gathered<readonly http.QueueDescription[]>> {
    return this.get("/v1/queue");
  }

  gatherBurn(): Promise<http.Gathered<readonly telemetry.BurnSeries[]>> {
    return this.get("/v1/burn");
  }

  explainRequest(requestId: string): Promise<http.Gathered<readonly telemetry.TraceEvent[]>> {
    return this.get(`/v1/requests/${encodeURIComponent(requestId)}/trace`);
  }

  explainEngine(name: string): Promise<http.EngineExplanation> {
    return this.get(`/v1/engines/${encodeURIComponent(name)}`);
  }

  readHistory(kind: string, name: string): Promise<readonly http.HistoryLine[]> {
    return this.get(`/v1/items/${encodeURIComponent(kind)}/${encodeURIComponent(name)}/history`);
  }

  proposeChange(change: http.ProposedChange): Promise<http.AcceptedChange> {
    return this.request("POST", "/v1/changes", JSON.stringify(change));
  }

  private get<T>(path: string): Promise<T> {
    return this.request("GET", path);
  }

  private async request<T>(method: string, path: string, payload?: string): Promise<T> {
    const { url, key, ca, timeoutMs = constants.ADMIN_TIMEOUT_MS } = this.options;
    let status: number;
    let body: string;
    try {
      const response = await Wreck.request(method, url + path, {
        headers: { authorization: `Bearer ${key}` },
        timeout: timeoutMs,
        ...(payload === undefined ? {} : { payload }),
        ...(ca === undefined ? {} : { agent: new https.Agent({ ca }) }),
      });
      status = response.statusCode ?? 0;
      body = (await Wreck.read(response, { timeout: timeoutMs })).toString("utf8");
    } catch (error) {
      throw createUnreachableError(url, error);
    }
    return this.parseAnswer(status, body) as T;
  }

  private parseAnswer(status: number, body: string): unknown {
    const parsed = parseJson(body);
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && parsed !== undefined) return parsed;
    const problem = PROBLEM_SCHEMA.safeParse(parsed);
    if (!problem.success) {
      throw createUnreachableError(
        this.options.url,
        new Error(`the answer is not from an admin port (status ${status})`),
      );
    }
    const { type, detail, step, peer, execution } = problem.data;
    const code = zod.enum(stepError.ErrorCode).safeParse(type.slice(PROBLEM_TYPE_PREFIX.length));
    throw cliErrors.toCliError(
      new stepError.StepError(detail, {
        code: code.success ? code.data : stepError.ErrorCode.Internal,
        step,
        peer: peer ?? this.options.url,
        execution,
      }),
    );
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function createUnreachableError(url: string, error: unknown): cliErrors.CliError {
  const reason = error instanceof Error ? error.message : "unknown error";
  return new cliErrors.CliError(
    `admin.connect at ${url}: ${reason}`,
    constants.ExitCode.Unavailable,
  );
}
