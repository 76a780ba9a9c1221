import * as zod from "zod";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as shareLedger from "../shareLedger/index.js";

/** Demands for several accounts in one message. */
export type DemandMessage = ReadonlyMap<string, shareLedger.Demand>;

/** Shares granted in answer; accounts that the home does not know are missing. */
export type ShareMessage = ReadonlyMap<string, types.AccountShare>;

/** Amounts travel as whole thousandths of a request, whole places and whole tokens. */
const THOUSANDTHS = 1_000;

const amountSchema = zod.int().nonnegative();
const shareSchema = zod.tuple([amountSchema, amountSchema, amountSchema]);
const demandsSchema = zod.tuple([
  zod.int().nonnegative(),
  zod
    .array(zod.tuple([zod.string(), shareSchema, shareSchema]))
    .max(constants.MAX_DEMANDS_PER_MESSAGE),
]);
const sharesSchema = zod
  .array(zod.tuple([zod.string(), shareSchema]))
  .max(constants.MAX_DEMANDS_PER_MESSAGE);

/** Demands as a message's params; all have the message's sequence. Amounts are rounded up. */
export function encodeDemands(sequence: number, demands: DemandMessage): unknown {
  const fields = [...demands].map(([name, { wanted, held }]) => [
    name,
    toFields(wanted, Math.ceil),
    toFields(held, Math.ceil),
  ]);
  return [sequence, fields];
}

/** Reads a message's params; undefined for anything else. */
export function decodeDemands(params: unknown): DemandMessage | undefined {
  const parsed = demandsSchema.safeParse(params);
  if (!parsed.success) return undefined;
  const [sequence, demands] = parsed.data;
  return new Map(
    demands.map(([name, wanted, held]) => [
      name,
      { sequence, wanted: toShare(wanted), held: toShare(held) },
    ]),
  );
}

/** Shares as a message's result. Amounts are rounded down. */
export function encodeShares(shares: ShareMessage): unknown {
  return [...shares].map(([name, share]) => [name, toFields(share, Math.floor)]);
}

/** Reads a message's result; undefined for anything else. */
export function decodeShares(result: unknown): ShareMessage | undefined {
  const parsed = sharesSchema.safeParse(result);
  if (!parsed.success) return undefined;
  return new Map(parsed.data.map(([name, share]) => [name, toShare(share)]));
}

function toFields(share: types.AccountShare, round: (value: number) => number): readonly number[] {
  const { requestsPerSecond, concurrentRequests, tokensPerSecond } = share;
  return [
    round(requestsPerSecond * THOUSANDTHS),
    round(concurrentRequests),
    round(tokensPerSecond),
  ];
}

function toShare(fields: zod.infer<typeof shareSchema>): types.AccountShare {
  const [requestThousandths, concurrentRequests, tokensPerSecond] = fields;
  const requestsPerSecond = requestThousandths / THOUSANDTHS;
  return { requestsPerSecond, concurrentRequests, tokensPerSecond };
}
