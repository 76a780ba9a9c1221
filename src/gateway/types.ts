import type * as neverthrow from "neverthrow";

import type * as byteBudgets from "../_lib/byteBudget/index.js";
import type * as clocks from "../_lib/clock/index.js";
import type * as randoms from "../_lib/random/index.js";
import type * as crashes from "../crashes/index.js";
import type * as diagnostics from "../diagnostics/index.js";
import type * as fleet from "../fleet/index.js";
import type * as relay from "../relay/index.js";
import type * as routing from "../routing/index.js";
import type * as serverLinks from "../serverLinks/index.js";
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
  /** Number of CPU cores of the VM; may be a fraction. */
  readonly coresCount: number;
  /** Most sockets that the process may have open. */
  readonly maxSocketsCount: number;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  /** Address for the other VMs, by TCP and UDP. */
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress;
  /** Time between the termination request and the kill of the process. */
  readonly graceMs: number;
  /** Longest time for which calls with a removed key may still be served. */
  readonly revocationMs: number;
  /** Time within which a change of the configuration must take effect. */
  readonly configurationApplyMs: number;
  readonly retryBudget: relay.RetryBudgetOptions;
  /** Bounds on the requests to a cold server; null where there are none. */
  readonly coldBounds: servers.ColdBounds | null;
}

/** Decodes the records of the platform's store. */
export interface ViewDecoder {
  /** Decodes a configuration; null for a record of another kind. The error describes the fault. */
  decodeConfiguration(
    record: sharedView.ViewRecord,
  ): neverthrow.Result<routing.Configuration, string> | null;
  /**
   * Decodes which data centre a record of the configuration topic evacuates, or takes back if it has no
   * value; null for a record of another kind. The error describes the fault.
   */
  decodeEvacuation(record: sharedView.ViewRecord): neverthrow.Result<string, string> | null;
  /** Decodes a server's entry; the error describes the fault. */
  decodeServer(record: sharedView.ViewRecord): neverthrow.Result<servers.ServerEntry, string>;
}

/** The external dependencies of a gateway, including its clock and source of randomness. */
export interface GatewayPorts {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly store: sharedView.ViewStore;
  readonly registry: sharedView.VmRegistry;
  readonly archive: crashes.SuspectArchive;
  readonly codec: relay.WireCodec;
  readonly control: relay.EngineControl;
  readonly decoder: ViewDecoder;
  readonly socket: fleet.DatagramSocket;
  /** Opens connections to the backend servers. */
  readonly dial: serverLinks.Dial;
  readonly log: diagnostics.DecisionLog;
  readonly meters: diagnostics.Meters;
  /** Bounds what the process holds for callers, servers, peers and the store. */
  readonly bytes: byteBudgets.ByteBudget;
}
