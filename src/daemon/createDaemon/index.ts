import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as settings from "../../settings/index.js";
import * as containers from "../_lib/createContainer.js";
import * as daemons from "../daemon/index.js";

export type { DaemonOverrides } from "../_lib/createContainer.js";

/**
 * Creates and starts a daemon.
 *
 * @param options - its checked settings
 * @param overrides - dependencies and options that tests replace
 * @returns the running daemon; disposing of it stops it at once, without a graceful shutdown
 * @throws the cause if a port cannot be opened or a certificate cannot be read
 */
export async function createDaemon(
  options: settings.Settings,
  overrides: containers.DaemonOverrides = {},
): Promise<daemons.Daemon> {
  const store = new disposableStore.DisposableStore();
  try {
    const container = await containers.createContainer(options, store, overrides);
    const daemon = new daemons.Daemon(options, container, store, overrides.waits);
    await daemon.start();
    return daemon;
  } catch (error) {
    await store[Symbol.asyncDispose]();
    throw error;
  }
}
