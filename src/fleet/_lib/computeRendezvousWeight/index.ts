import * as crypto from "node:crypto";

/** Cached hashes of member names; a member keeps its object identity until it changes. */
const memberHashes = new WeakMap<object, number>();

/** Hashes a key or a member's name. */
export function hashName(name: string): number {
  return crypto.createHash("sha1").update(name).digest().readUInt32BE(0);
}

/**
 * Computes a member's weight for a key: the member with the highest weight ranks first. Callers
 * order equal weights by name.
 *
 * @param keyHash - the result of hashName for the key
 */
export function computeRendezvousWeight(
  keyHash: number,
  member: { readonly name: string },
): number {
  const memberHash = memberHashes.get(member) ?? hashName(member.name);
  memberHashes.set(member, memberHash);
  return mixBits(keyHash ^ memberHash);
}

/** The finalizer of MurmurHash3: each input bit changes about half of the output bits. */
function mixBits(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
