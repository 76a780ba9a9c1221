import * as neverthrow from "neverthrow";

import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as servers from "../../../servers/index.js";
import * as engineDispatchers from "../../engineDispatcher/index.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as fixtures from "../fixtures/index.js";
import * as handovers from "../handover/index.js";

type TransferOutcome = (to: string, stopsRun: boolean) => types.MemoryCopyFailure | null;

interface TransferRequest {
  readonly to: string;
  readonly stopsRun: boolean;
  readonly atMs: number;
}

/** Token counts of the generation that migrates between engines in these tests. */
export const NEED: dispatch.GenerationNeed = {
  promptTokens: 3_000,
  unreadTokens: 0,
  expectedOutputTokens: 900,
  producedTokens: 300,
  dataCentre: "dc-a",
};

/** Sets up a run on an engine that leaves, beside two others; copies of its memory end as given. */
export function setUpHandover(outcomeOf: TransferOutcome): {
  readonly clock: virtualClocks.VirtualClock;
  readonly directory: servers.ServerDirectory;
  readonly backpressure: servers.ServerBackpressure;
  readonly transfers: TransferRequest[];
  readonly claims: dispatch.ClaimTable;
  readonly start: () => Promise<handovers.ContinuationTarget | null>;
  readonly claimRun: (requestId: string, serverId?: string) => void;
  /** Aborted when the run's stream has ended. */
  readonly ended: AbortController;
} {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const trust = new servers.ServerTrust(clock);
  const claims = new dispatch.ClaimTable(clock);
  const random = randoms.createRandom(1);
  const backpressure = new servers.ServerBackpressure(clock, () => ({ rank: 0, vmsCount: 1 }));
  const transfers: TransferRequest[] = [];
  const from = fixtures.createServerEntry("leaving", 1);
  for (const entry of [
    from,
    fixtures.createServerEntry("e2", 2),
    fixtures.createServerEntry("e3", 3),
  ])
    directory.apply(entry);
  const identity = { vmName: "vm-1", dataCentre: "dc-a" };
  const dispatcher = new engineDispatchers.EngineDispatcher({
    ...identity,
    clock,
    random,
    directory,
    trust,
    backpressure,
    claims,
    fleetQueue: new dispatch.FleetQueue(clock),
    broadcast: {
      announceClaim: () => undefined,
      announceRelease: () => undefined,
      announceWaiting: () => undefined,
      announceWaitingEnd: () => undefined,
    },
    engineTraits: () => ({
      slotsCount: 24,
      memoryTokens: 34_000,
      tokensPerEvent: 4,
      canMoveRuns: true,
      canBackUpRuns: true,
    }),
  });
  const control: types.EngineControl = {
    stopRun: () => Promise.resolve(types.StopOutcome.NoSuchRun),
    copyRunMemory: (_from, to, _id, { stopsRun }) => {
      transfers.push({ to: to.id, stopsRun, atMs: clock.nowMs() });
      const failure = outcomeOf(to.id, stopsRun);
      const migrated = { handle: `copy at ${to.id}`, producedEventsCount: 75 };
      return Promise.resolve(failure === null ? neverthrow.ok(migrated) : neverthrow.err(failure));
    },
  };
  const context = {
    ...identity,
    clock,
    random,
    directory,
    trust,
    backpressure,
    dispatcher,
    control,
    log: diagnostics.NOOP_DECISION_LOG,
    meters: new diagnostics.Meters(),
  } as unknown as relayContext.RelayContext;
  const start = (): Promise<handovers.ContinuationTarget | null> =>
    handovers.migrateMemory(context, {
      requestId: "r1",
      serviceName: fixtures.SERVICE_NAME,
      from,
      need: NEED,
      noticedAtMs: clock.nowMs(),
      streamEnded: ended.signal,
      onStopping: () => undefined,
    });
  const ended = new AbortController();
  const claimRun = (requestId: string, serverId = "leaving"): void =>
    claims.put({
      ...NEED,
      requestId,
      role: dispatch.ClaimRole.Run,
      vmName: requestId === "r1" ? "vm-1" : `vm of ${requestId}`,
      serverId,
      hasFirstEvent: true,
    });
  claimRun("r1");
  return { clock, directory, backpressure, transfers, claims, start, claimRun, ended };
}
