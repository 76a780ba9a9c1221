import * as zod from "zod";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as shareLedger from "../shareLedger/index.js";

/** Demands for several accounts in one message, by account name. */
export type DemandMessage = ReadonlyMap<string, shareLedger.Demand>;

/** Shares granted in response, by account name; accounts without a grant are missing. */
export type ShareMessage = ReadonlyMap<string, types.AccountShare>;

/** Request rates are encoded in thousandths; request slots and token rates as integers. */
const THOUSANDTHS_PER_REQUEST = 1_000;

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

/**
 * Encodes demands as a message's params, with one sequence number for all. Amounts are rounded up,
 * so that the home never assumes less use than there is.
 */
export function encodeDemands(sequence: number, demands: DemandMessage): unknown {
  const fields = [...demands].map(([name, { wanted, held }]) => [
    name,
    encodeShare(wanted, Math.ceil),
    encodeShare(held, Math.ceil),
  ]);
  return [sequence, fields];
}

/** Decodes a message's params; returns undefined if they are malformed. */
export function decodeDemands(params: unknown): DemandMessage | undefined {
  const parsed = demandsSchema.safeParse(params);
  if (!parsed.success) return undefined;
  const [sequence, demands] = parsed.data;
  return new Map(
    demands.map(([name, wanted, held]) => [
      name,
      { sequence, wanted: decodeShare(wanted), held: decodeShare(held) },
    ]),
  );
}

/** Encodes shares as a response; rounds down, so that no VM receives more than it was granted. */
export function encodeShares(shares: ShareMessage): unknown {
  return [...shares].map(([name, share]) => [name, encodeShare(share, Math.floor)]);
}

/** Decodes shares from a response; returns undefined if it is malformed. */
export function decodeShares(result: unknown): ShareMessage | undefined {
  const parsed = sharesSchema.safeParse(result);
  if (!parsed.success) return undefined;
  return new Map(parsed.data.map(([name, share]) => [name, decodeShare(share)]));
}

function encodeShare(
  share: types.AccountShare,
  round: (value: number) => number,
): readonly number[] {
  const { requestsPerSecond, concurrentRequests, tokensPerSecond } = share;
  return [
    round(requestsPerSecond * THOUSANDTHS_PER_REQUEST),
    round(concurrentRequests),
    round(tokensPerSecond),
  ];
}

function decodeShare(fields: zod.infer<typeof shareSchema>): types.AccountShare {
  const [requestThousandths, concurrentRequests, tokensPerSecond] = fields;
  const requestsPerSecond = requestThousandths / THOUSANDTHS_PER_REQUEST;
  return { requestsPerSecond, concurrentRequests, tokensPerSecond };
}
