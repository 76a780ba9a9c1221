import type * as disposableStore from "../../../_lib/disposableStore/index.js";
import type * as crashes from "../../../crashes/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as relay from "../../../relay/index.js";
import * as routing from "../../../routing/index.js";
import type * as servers from "../../../servers/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import * as callerServers from "../../callerServer/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";
import type * as createServerLinks from "../createServerLinks/index.js";
import * as answerObservers from "../observeAnswerHeads/index.js";

/** The parts of a VM that serve its callers. */
export interface CallerServerParts {
  readonly backpressure: servers.ServerBackpressure;
  readonly callGate: relay.CallGate;
  readonly crashMonitor: crashes.CrashMonitor;
  readonly directory: servers.ServerDirectory;
  readonly dispatcher: relay.EngineDispatcher;
  readonly links: createServerLinks.ServerLinks;
  readonly loads: servers.ServerLoads;
  readonly mesh: sharedView.PeerMesh;
  readonly overloadGuard: servers.OverloadGuard;
  readonly places: servers.BrittlePlaces;
  readonly trust: servers.ServerTrust;
  readonly view: currentViews.CurrentView;
  /** Owns the relays. */
  readonly resources: disposableStore.DisposableStore;
  /** Returns the milliseconds until this VM stops; null if it is not stopping. */
  readonly getTimeToStopMs: () => number | null;
  /** Aborted when this VM is about to close its callers' connections. */
  readonly vmClosing: AbortSignal;
}

/** Creates a VM's server for callers, with the relays that it passes their calls to. */
export function createCallerServer(
  settings: types.GatewaySettings,
  ports: types.GatewayPorts,
  {
    callGate,
    links,
    mesh,
    resources,
    view,
    getTimeToStopMs,
    vmClosing,
    ...parts
  }: CallerServerParts,
): callerServers.CallerServer {
  const { clock, log } = ports;
  const budget = new relay.RetryBudget(clock, settings.retryBudget, () => mesh.liveVmsCount);
  const context: relay.RelayContext = {
    ...ports,
    ...parts,
    random: ports.random.fork(),
    spread: new dispatch.SpreadSequence(
      clock,
      (serviceName) => mesh.rankFor(serviceName),
      ports.random.fork().next(),
    ),
    vmName: settings.vmName,
    dataCentre: settings.dataCentre,
    answers: new relay.AnswerIntake(ports),
    connector: links.connector,
    lengths: new dispatch.OutputLengths(),
    budget,
    onAnswerHead: answerObservers.observeAnswerHeads({ log, ...parts }),
  };
  const plain = new relay.PlainRelay(context, callGate);
  const generations = resources.add(new relay.GenerationRelay(context));
  const relayPlain = plain.relay.bind(plain);
  return new callerServers.CallerServer({
    settings,
    ports,
    view,
    budget,
    relays: {
      [routing.RouteKind.Idempotent]: relayPlain,
      [routing.RouteKind.OnceOnly]: relayPlain,
      [routing.RouteKind.Generation]: generations.relay.bind(generations),
    },
    getTimeToStopMs,
    vmClosing,
  });
}
