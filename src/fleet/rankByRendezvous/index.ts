import * as computeRendezvousWeight from "../_lib/computeRendezvousWeight/index.js";

interface WeightedMember<T> {
  readonly member: T;
  readonly weight: number;
}

/**
 * Ranks members for a key by rendezvous hashing: when a member is added or removed, the first
 * member changes only for keys for which that member ranks first.
 *
 * @param key - the name of the item to be assigned, e.g. of an engine
 * @param members - the candidates; the order is the same at every VM that passes the same ones
 * @returns the members in descending order of preference
 */
export function rankByRendezvous<T extends { readonly name: string }>(
  key: string,
  members: readonly T[],
): readonly T[] {
  const keyHash = computeRendezvousWeight.hashName(key);
  const weightedMembers = members.map((member): WeightedMember<T> => {
    return { member, weight: computeRendezvousWeight.computeRendezvousWeight(keyHash, member) };
  });
  return weightedMembers.sort(compareByWeight).map(({ member }) => member);
}

function compareByWeight<T extends { readonly name: string }>(
  left: WeightedMember<T>,
  right: WeightedMember<T>,
): number {
  return right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1);
}
