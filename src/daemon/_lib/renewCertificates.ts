import type * as clocks from "../../_lib/clock/index.js";
import type * as logging from "../../_lib/logger/index.js";
import type * as telemetry from "../../telemetry/types.js";
import * as certificateFiles from "../certificateFiles/index.js";
import * as constants from "../constants.js";

/** A TLS listener whose certificates can be replaced while it runs. */
export interface RenewableListener {
  readonly name: string;
  readonly paths: certificateFiles.CertificatePaths;
  readonly current: certificateFiles.Certificates;
  renew(certificates: certificateFiles.Certificates): void;
}

/** Dependencies of the certificate renewal. */
export interface RenewalParts {
  readonly clock: clocks.Clock;
  readonly logger: logging.Logger;
  readonly metrics: telemetry.Metrics;
}

/** Checks a listener's certificate files periodically until aborted, and applies changed ones. */
export async function renewCertificates(
  listener: RenewableListener,
  parts: RenewalParts,
  signal: AbortSignal,
): Promise<void> {
  let current = listener.current;
  for (;;) {
    const isStopped = await parts.clock.sleep(constants.CERTIFICATE_CHECK_INTERVAL_MS, signal).then(
      () => false,
      () => true,
    );
    if (isStopped) return;
    current = await reloadIfChanged(listener, current, parts);
  }
}

/**
 * Checks the certificate files once and applies them if they changed. If they cannot be read or the
 * listener rejects them, as with a half-written pair, the current certificates stay in use until the
 * next check.
 *
 * @returns the certificates in use afterwards
 */
export async function reloadIfChanged(
  listener: RenewableListener,
  current: certificateFiles.Certificates,
  { logger, metrics }: RenewalParts,
): Promise<certificateFiles.Certificates> {
  try {
    const loaded = await certificateFiles.readCertificates(listener.paths);
    if (certificateFiles.isSameCertificates(loaded, current)) return current;
    listener.renew(loaded);
    logger.info({ listener: listener.name }, "certificates renewed");
    metrics.increment("tls_renewals", 1, { listener: listener.name });
    return loaded;
  } catch (error) {
    metrics.increment("tls_renewal_failures", 1, { listener: listener.name });
    logger.error({ listener: listener.name, err: error }, "cannot load renewed certificates");
    return current;
  }
}
