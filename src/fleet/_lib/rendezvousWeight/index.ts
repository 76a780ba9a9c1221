import * as crypto from "node:crypto";

/** Hashes of members' names; members are kept as the same objects until they change. */
const memberHashes = new WeakMap<object, number>();

/** Hash of a key, to be combined with that of each member. */
export function hashName(name: string): number {
  return crypto.createHash("sha1").update(name).digest().readUInt32BE(0);
}

/**
 * A member's weight for a key: the member with the highest one comes first. Equal weights are
 * told apart by name.
 *
 * @param keyHash - hashName of the key
 */
export function rendezvousWeight(keyHash: number, member: { readonly name: string }): number {
  const memberHash = memberHashes.get(member) ?? hashName(member.name);
  memberHashes.set(member, memberHash);
  return mixBits(keyHash ^ memberHash);
}

/** The finalizer of MurmurHash3: each bit of the input changes about half of the result's. */
function mixBits(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
