import * as crypto from "node:crypto";

/**
 * Hashes a key for storage and lookup; the key itself is never stored.
 *
 * @returns SHA-256 as lower-case hex
 */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}

/** Whether one of the hashes is that of the key; each hash is compared in constant time. */
export function isKeyAmong(key: string, hashes: readonly string[]): boolean {
  return isHashAmong(hashKey(key), hashes);
}

/** Whether a key's hash is one of the hashes; each is compared in constant time. */
export function isHashAmong(hash: string, hashes: readonly string[]): boolean {
  const bytes = Buffer.from(hash, "hex");
  let isFound = false;
  for (const candidate of hashes) {
    const other = Buffer.from(candidate, "hex");
    if (other.length === bytes.length && crypto.timingSafeEqual(bytes, other)) isFound = true;
  }
  return isFound;
}
