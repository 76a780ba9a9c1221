import type * as clocks from "../_lib/clock/index.js";
import type * as adminClients from "./adminClient/index.js";

/** Options that every command takes. */
export interface CommonOptions {
  readonly admin: string;
  readonly keyFile?: string;
  readonly caFile?: string;
  readonly json?: boolean;
}

/** What commands use of the outside world; tests give their own. */
export interface CliContext {
  readonly clock: clocks.Clock;
  readonly environment: Readonly<Record<string, string | undefined>>;
  writeOut(text: string): void;
  writeErr(text: string): void;
  createClient(options: CommonOptions): Promise<adminClients.AdminClient>;
}
