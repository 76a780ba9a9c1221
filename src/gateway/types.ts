import type * as neverthrow from "neverthrow";

import type * as clocks from "../_lib/clock/index.js";
import type * as randoms from "../_lib/random/index.js";
import type * as diagnostics from "../diagnostics/index.js";
import type * as fleet from "../fleet/index.js";
import type * as relay from "../relay/index.js";
import type * as routing from "../routing/index.js";
import type * as servers from "../servers/index.js";
import type * as sharedView from "../sharedView/index.js";

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly vmName: string;
  readonly dataCentre: string;
  /** Share of a core that the VM has. */
  readonly coresCount: number;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  /** TCP and UDP, for the other VMs. */
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress;
  /** Time between the request to stop and the end by force. */
  readonly graceMs: number;
  /** How long after a key's removal a call with it may still run. */
  readonly revocationMs: number;
  /** Within which a change of configuration is in force. */
  readonly configurationApplyMs: number;
  readonly retryBudget: relay.RetryBudgetOptions;
}

/** Reads what stands in the platform's store. */
export interface ViewDecoder {
  /** The configuration in a record; null for a record that holds something else. */
  decodeConfiguration(
    record: sharedView.ViewRecord,
  ): neverthrow.Result<routing.Configuration, string> | null;
  decodeServer(record: sharedView.ViewRecord): neverthrow.Result<servers.ServerEntry, string>;
}

/** The outside parties of a gateway, and its sources of time and chance. */
export interface GatewayPorts {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly store: sharedView.ViewStore;
  readonly registry: sharedView.VmRegistry;
  readonly codec: relay.WireCodec;
  readonly control: relay.EngineControl;
  readonly decoder: ViewDecoder;
  readonly socket: fleet.DatagramSocket;
  readonly log: diagnostics.DecisionLog;
  readonly meters: diagnostics.Meters;
}
