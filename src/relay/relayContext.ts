import type * as clocks from "../_lib/clock/index.js";
import type * as randoms from "../_lib/random/index.js";
import type * as crashes from "../crashes/index.js";
import type * as diagnostics from "../diagnostics/index.js";
import type * as dispatch from "../dispatch/index.js";
import type * as serverLinks from "../serverLinks/index.js";
import type * as servers from "../servers/index.js";
import type * as answerIntakes from "./answerIntake/index.js";
import type * as engineDispatcher from "./engineDispatcher/index.js";
import type * as retryBudgets from "./retryBudget/index.js";
import type * as types from "./types.js";

/** Dependencies of the relays. */
export interface RelayContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  readonly codec: types.WireCodec;
  readonly control: types.EngineControl;
  /** Reads servers' answers within the bytes that this VM may hold. */
  readonly answers: answerIntakes.AnswerIntake;
  readonly connector: serverLinks.ServerConnector;
  readonly directory: servers.ServerDirectory;
  readonly trust: servers.ServerTrust;
  readonly dispatcher: engineDispatcher.EngineDispatcher;
  /** The load of plain servers, as answers and peers tell. */
  readonly loads: servers.ServerLoads;
  /** Where this VM's calls fall among the plain servers. */
  readonly spread: dispatch.SpreadSequence;
  /** Limits on the rate of requests that servers name. */
  readonly backpressure: servers.ServerBackpressure;
  /** Knows which services have brittle servers. */
  readonly overloadGuard: servers.OverloadGuard;
  /** Limits concurrent requests at brittle servers. */
  readonly places: servers.BrittlePlaces;
  /** Output lengths learned from complete outputs. */
  readonly lengths: dispatch.OutputLengths;
  /** Finds out which work makes servers crash. */
  readonly crashMonitor: crashes.CrashMonitor;
  readonly budget: retryBudgets.RetryBudget;
  readonly log: diagnostics.DecisionLog;
  readonly meters: diagnostics.Meters;
  /** Called with the head of each answer, whatever becomes of it, and the peer whose tunnel it came through. */
  readonly onAnswerHead: (
    server: servers.ServerEntry,
    head: types.AnswerHead,
    peer: serverLinks.TunnelPeer | null,
  ) => void;
}
