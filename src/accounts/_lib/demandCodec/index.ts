import * as zod from "zod";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as shareLedger from "../shareLedger/index.js";

/** Demands for several accounts in one message. */
export type DemandMessage = ReadonlyMap<string, shareLedger.Demand>;

/** Shares granted in answer; accounts that the home does not know are missing. */
export type ShareMessage = ReadonlyMap<string, types.AccountShare>;

const amountSchema = zod.number().nonnegative();
const shareSchema = zod.tuple([amountSchema, amountSchema, amountSchema]);
const demandsSchema = zod
  .array(zod.tuple([zod.string(), zod.int().nonnegative(), shareSchema, shareSchema]))
  .max(constants.MAX_DEMANDS_PER_MESSAGE);
const sharesSchema = zod
  .array(zod.tuple([zod.string(), shareSchema]))
  .max(constants.MAX_DEMANDS_PER_MESSAGE);

/** Demands as a message's params. */
export function encodeDemands(demands: DemandMessage): unknown {
  return [...demands].map(([name, demand]) => [
    name,
    demand.sequence,
    toFields(demand.wanted),
    toFields(demand.held),
  ]);
}

/** Reads a message's params; undefined for anything else. */
export function decodeDemands(params: unknown): DemandMessage | undefined {
  const parsed = demandsSchema.safeParse(params);
  if (!parsed.success) return undefined;
  return new Map(
    parsed.data.map(([name, sequence, wanted, held]) => [
      name,
      { sequence, wanted: toShare(wanted), held: toShare(held) },
    ]),
  );
}

/** Shares as a message's result. */
export function encodeShares(shares: ShareMessage): unknown {
  return [...shares].map(([name, share]) => [name, toFields(share)]);
}

/** Reads a message's result; undefined for anything else. */
export function decodeShares(result: unknown): ShareMessage | undefined {
  const parsed = sharesSchema.safeParse(result);
  if (!parsed.success) return undefined;
  return new Map(parsed.data.map(([name, share]) => [name, toShare(share)]));
}

function toFields(share: types.AccountShare): readonly number[] {
  return [share.requestsPerSecond, share.concurrentRequests, share.tokensPerSecond];
}

function toShare(fields: zod.infer<typeof shareSchema>): types.AccountShare {
  const [requestsPerSecond, concurrentRequests, tokensPerSecond] = fields;
  return { requestsPerSecond, concurrentRequests, tokensPerSecond };
}
