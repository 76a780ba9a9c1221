import * as http from "../../http/index.js";
import type * as settings from "../../settings/index.js";
import * as certificateFiles from "../certificateFiles/index.js";
import type * as renewal from "./renewCertificates.js";
import type * as startWaits from "./startWaits.js";

/** The running HTTP servers of a daemon. */
export interface Listeners {
  readonly callers: http.CallerServer;
  readonly admin: http.AdminServer;
  /** The servers that use TLS, whose certificates can be replaced. */
  readonly renewable: readonly renewal.RenewableListener[];
}

interface ListenSettings {
  readonly address: string;
  readonly port: number;
  readonly tls?: certificateFiles.CertificatePaths | undefined;
}

interface OpenListener {
  renewTls(tls: certificateFiles.Certificates): void;
}

/**
 * Opens the operators' port, then the callers', so that no caller is served amid a start that waits.
 *
 * @throws the cause if a port cannot be opened or a certificate cannot be read, and the start does not wait for it
 */
export async function openListeners(
  options: settings.Settings,
  callerParts: http.CallerServerParts,
  operations: http.AdminOperations,
  waits: startWaits.StartWaits,
): Promise<Listeners> {
  const { callers, admin, limits } = options;
  const callerTls = await readTls(callers, waits);
  const adminTls = await readTls(admin, waits);
  const adminServer = await waits.bind("admin", toAddress(admin), () =>
    http.AdminServer.start(operations, admin.operatorKeys, { ...admin, tls: adminTls }, limits),
  );
  let callerServer: http.CallerServer;
  try {
    callerServer = await waits.bind("callers", toAddress(callers), () =>
      http.CallerServer.start(callerParts, { ...callers, tls: callerTls }, limits),
    );
  } catch (error) {
    await adminServer[Symbol.asyncDispose]();
    throw error;
  }
  const renewable = [
    ...listRenewable("callers", callers, callerTls, callerServer),
    ...listRenewable("admin", admin, adminTls, adminServer),
  ];
  return { callers: callerServer, admin: adminServer, renewable };
}

function toAddress({ address, port }: ListenSettings): startWaits.BoundAddress {
  return { host: address, port };
}

async function readTls(
  { tls }: ListenSettings,
  waits: startWaits.StartWaits,
): Promise<certificateFiles.Certificates | null> {
  if (tls === undefined) return null;
  return waits.read(tls.certFile, () => certificateFiles.readCertificates(tls));
}

function listRenewable(
  name: string,
  { tls }: ListenSettings,
  current: certificateFiles.Certificates | null,
  listener: OpenListener,
): readonly renewal.RenewableListener[] {
  if (tls === undefined || current === null) return [];
  return [{ name, paths: tls, current, renew: (renewed) => listener.renewTls(renewed) }];
}
