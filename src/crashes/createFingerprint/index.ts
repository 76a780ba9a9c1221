import * as crypto from "node:crypto";

/** What makes two attempts the same request. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  /** Name of the client account; null for anonymous requests. */
  readonly accountName: string | null;
  readonly body: Buffer;
}

/** Creates a fingerprint that is equal for all attempts of one request, at any VM. */
export function createFingerprint(request: RequestIdentity): string {
  const { method, host, target, accountName, body } = request;
  const head = JSON.stringify([method, host, target, accountName, body.length]);
  return crypto.createHash("sha256").update(head).update(body).digest("base64url");
}
