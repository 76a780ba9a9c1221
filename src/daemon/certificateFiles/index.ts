import * as fs from "node:fs/promises";
import type * as https from "node:https";

/** Files of one listener's certificates, PEM. */
export interface CertificatePaths {
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificates of accepted clients; with it, clients must present one. */
  readonly caFile?: string | undefined;
}

/** Certificates as a TLS listener takes them. */
export type Certificates = https.ServerOptions & {
  readonly cert: string;
  readonly key: string;
};

/** Reads a listener's certificates from its files. */
export async function readCertificates(paths: CertificatePaths): Promise<Certificates> {
  const [cert, key] = await Promise.all([
    fs.readFile(paths.certFile, "utf8"),
    fs.readFile(paths.keyFile, "utf8"),
  ]);
  if (paths.caFile === undefined) return { cert, key };
  const ca = await fs.readFile(paths.caFile, "utf8");
  return { cert, key, ca, requestCert: true, rejectUnauthorized: true };
}

/** Whether two sets of certificates are the same. */
export function isSameCertificates(left: Certificates, right: Certificates): boolean {
  return left.cert === right.cert && left.key === right.key && left.ca === right.ca;
}
