import * as fs from "node:fs/promises";
import type * as https from "node:https";

/** Paths of one listener's PEM files. */
export interface CertificatePaths {
  readonly certFile: string;
  readonly keyFile: string;
  /** CA certificates for client certificates; if set, clients must present a certificate. */
  readonly caFile?: string | undefined;
}

/** TLS options of a listener, with its certificate chain and private key in PEM. */
export type Certificates = https.ServerOptions & {
  readonly cert: string;
  readonly key: string;
};

/**
 * Reads a listener's certificates from its files.
 *
 * @throws the cause if a file cannot be read
 */
export async function readCertificates(paths: CertificatePaths): Promise<Certificates> {
  const [cert, key] = await Promise.all([
    fs.readFile(paths.certFile, "utf8"),
    fs.readFile(paths.keyFile, "utf8"),
  ]);
  if (paths.caFile === undefined) return { cert, key };
  const ca = await fs.readFile(paths.caFile, "utf8");
  return { cert, key, ca, requestCert: true, rejectUnauthorized: true };
}

/** Whether two sets of certificates have the same chain, key and CA certificates. */
export function isSameCertificates(left: Certificates, right: Certificates): boolean {
  return left.cert === right.cert && left.key === right.key && left.ca === right.ca;
}
