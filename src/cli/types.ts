import type * as clocks from "../_lib/clock/index.js";
import type * as adminClients from "./adminClient/index.js";

/** Options shared by all commands that contact a daemon. */
export interface CommonOptions {
  readonly admin: string;
  readonly keyFile?: string;
  readonly caFile?: string;
  readonly json?: boolean;
}

/**
 * What a command uses of its process: the clock, environment variables, output streams and clients
 * of daemons. Tests replace it.
 */
export interface CliContext {
  readonly clock: clocks.Clock;
  readonly environment: Readonly<Record<string, string | undefined>>;
  writeOut(text: string): void;
  writeErr(text: string): void;
  createClient(options: CommonOptions): Promise<adminClients.AdminClient>;
}
