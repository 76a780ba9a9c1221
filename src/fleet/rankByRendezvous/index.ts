import * as crypto from "node:crypto";

interface Weighed<T> {
  readonly member: T;
  readonly weight: number;
}

const WEIGHT_BYTES = 6;

/**
 * Ranks members for a key by rendezvous hashing: when a member comes or goes, only the keys
 * that it is first for move.
 *
 * @param key - what is placed, e.g. an engine's name
 * @param members - candidates; every VM that passes the same ones gets the same order
 * @returns the members, the first choice first
 */
export function rankByRendezvous<T extends { readonly name: string }>(
  key: string,
  members: readonly T[],
): readonly T[] {
  const weighed = members.map((member): Weighed<T> => ({
    member,
    weight: weigh(key, member.name),
  }));
  return weighed.sort(compareWeighed).map(({ member }) => member);
}

function weigh(key: string, memberName: string): number {
  const digest = crypto.createHash("sha1").update(`${key}\0${memberName}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}

function compareWeighed<T extends { readonly name: string }>(
  left: Weighed<T>,
  right: Weighed<T>,
): number {
  return right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1);
}
