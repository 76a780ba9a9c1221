import * as http from "../../http/index.js";
import type * as settings from "../../settings/index.js";
import * as certificateFiles from "../certificateFiles/index.js";
import type * as renewal from "./renewCertificates.js";

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
 * Opens the callers' port and the operators' port.
 *
 * @throws the cause if a port cannot be opened or a certificate cannot be read
 */
export async function openListeners(
  options: settings.Settings,
  callerParts: http.CallerServerParts,
  operations: http.AdminOperations,
): Promise<Listeners> {
  const { callers, admin, limits } = options;
  const callerTls = await readTls(callers);
  const adminTls = await readTls(admin);
  const callerServer = await http.CallerServer.start(
    callerParts,
    { ...callers, tls: callerTls },
    limits,
  );
  const adminServer = await http.AdminServer.start(
    operations,
    admin.operatorKeys,
    { ...admin, tls: adminTls },
    limits,
  );
  const renewable = [
    ...listRenewable("callers", callers, callerTls, callerServer),
    ...listRenewable("admin", admin, adminTls, adminServer),
  ];
  return { callers: callerServer, admin: adminServer, renewable };
}

async function readTls({ tls }: ListenSettings): Promise<certificateFiles.Certificates | null> {
  return tls === undefined ? null : certificateFiles.readCertificates(tls);
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
