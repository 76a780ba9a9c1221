import type * as serverLinks from "../../../serverLinks/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/** To which servers a call that waits for a place may be sent, and until when it waits. */
export interface LoanQuery {
  /** Servers that may have executed the call. */
  readonly possiblyRanIds: ReadonlySet<string>;
  /** Whether the call may be sent to a server that has not executed it. */
  readonly canUseNewServer: boolean;
  /** Aborted when the call ends. */
  readonly signal: AbortSignal;
}

/** A place at a server that a peer lends until the connection is closed. */
export interface BorrowedPlace {
  readonly server: servers.ServerEntry;
  readonly connection: serverLinks.ServerConnection;
}

/** Longest time for which a peer is asked to wait until it has a place; within the timeout of a tunnel. */
const LOAN_WAIT_MS = 120;

type LoanContext = Pick<
  relayContext.RelayContext,
  "backpressure" | "clock" | "connector" | "directory" | "places" | "random" | "trust"
>;

/**
 * Waits for a place at a brittle server: a VM that has places there looks again a moment later, one that has none
 * asks a peer for the loan of one.
 *
 * @returns the place of a peer; null if it is time to look again
 */
export async function awaitPlace(
  context: LoanContext,
  call: Pick<types.Call, "deadlineAtMs" | "head" | "serviceName">,
  query: LoanQuery,
): Promise<BorrowedPlace | null> {
  const { clock, places } = context;
  const allowed = listAllowed(context, call, query);
  const hasOwn = allowed.some((entry) => places.countPlaces(entry) > 0);
  const turn = hasOwn ? null : places.takeTurn(call.serviceName);
  try {
    const borrowed = turn === null ? null : await borrowPlace(context, call, allowed, query);
    if (borrowed !== null) return borrowed;
    const pauseMs =
      turn === null ? constants.PLACE_CHECK_INTERVAL_MS : constants.LOAN_RETRY_INTERVAL_MS;
    // Rejects only if the call has ended.
    await clock.sleep(pauseMs, query.signal).catch(() => null);
    return null;
  } finally {
    turn?.[Symbol.dispose]();
  }
}

/** Servers to which the call may be sent as soon as there is a place. */
function listAllowed(
  { backpressure, directory, trust }: LoanContext,
  { serviceName }: Pick<types.Call, "serviceName">,
  { possiblyRanIds, canUseNewServer }: LoanQuery,
): readonly servers.ServerEntry[] {
  return directory
    .listAvailable(serviceName)
    .map(({ entry }) => entry)
    .filter((entry) => canUseNewServer || possiblyRanIds.has(entry.id))
    .filter((entry) => !trust.isSuspended(entry.id) && backpressure.delayMs(entry) === 0);
}

/** Asks a random peer that has places at one of the servers. */
async function borrowPlace(
  { backpressure, clock, connector, directory, places, random }: LoanContext,
  { deadlineAtMs, head }: Pick<types.Call, "deadlineAtMs" | "head">,
  allowed: readonly servers.ServerEntry[],
  { signal }: LoanQuery,
): Promise<BorrowedPlace | null> {
  const offers = allowed.flatMap((server) =>
    places.listHolders(server).map(({ vmName }) => ({ server, vmName })),
  );
  const offer = offers[Math.floor(random.next() * offers.length)];
  if (offer === undefined) return null;
  const { server, vmName } = offer;
  const loan = { waitMs: LOAN_WAIT_MS, forMs: Math.max(0, deadlineAtMs - clock.nowMs()) };
  const opened = await connector.connectOnLoan(vmName, server, {
    requestId: head.id,
    loan,
    signal,
  });
  if (opened.isErr()) return null;
  const known = directory.find(server.id);
  const isUsable = known !== undefined && directory.acceptsWork(known);
  if (isUsable && backpressure.delayMs(server) === 0) {
    backpressure.reserve(server);
    return { server, connection: opened.value };
  }
  // What was decided before the peer was asked no longer holds.
  opened.value.socket.destroy();
  return null;
}
