import * as crypto from "node:crypto";

/**
 * Hash under which a key is stored; the key itself is stored nowhere.
 *
 * @returns SHA-256 as lower-case hex
 */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}

/** Whether a key has one of the hashes; compares in constant time. */
export function isKeyAmong(key: string, hashes: readonly string[]): boolean {
  const hash = Buffer.from(hashKey(key), "hex");
  let isFound = false;
  for (const candidate of hashes) {
    const other = Buffer.from(candidate, "hex");
    if (other.length === hash.length && crypto.timingSafeEqual(hash, other)) isFound = true;
  }
  return isFound;
}
