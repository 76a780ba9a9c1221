import type * as clocks from "../../_lib/clock/index.js";
import type * as logging from "../../_lib/logger/index.js";
import type * as telemetry from "../../telemetry/types.js";
import * as certificateFiles from "../certificateFiles/index.js";
import * as constants from "../constants.js";

/** A listener whose certificates can be renewed. */
export interface RenewableListener {
  readonly name: string;
  readonly paths: certificateFiles.CertificatePaths;
  readonly current: certificateFiles.Certificates;
  renew(certificates: certificateFiles.Certificates): void;
}

/** What the renewal task works with. */
export interface RenewalParts {
  readonly clock: clocks.Clock;
  readonly logger: logging.Logger;
  readonly metrics: telemetry.Metrics;
}

/** Looks at a listener's certificate files until aborted, and takes up renewed ones. */
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
    current = await takeUpRenewed(listener, current, parts);
  }
}

/**
 * Looks at the files once. A half-written pair fails to load; the running one stays until the next
 * look.
 *
 * @returns the certificates in use afterwards
 */
export async function takeUpRenewed(
  listener: RenewableListener,
  current: certificateFiles.Certificates,
  { logger, metrics }: RenewalParts,
): Promise<certificateFiles.Certificates> {
  try {
    const found = await certificateFiles.readCertificates(listener.paths);
    if (certificateFiles.isSameCertificates(found, current)) return current;
    listener.renew(found);
    logger.info({ listener: listener.name }, "certificates renewed");
    metrics.increment("tls_renewals", 1, { listener: listener.name });
    return found;
  } catch (error) {
    metrics.increment("tls_renewal_failures", 1, { listener: listener.name });
    logger.error({ listener: listener.name, err: error }, "renewed certificates do not load");
    return current;
  }
}
