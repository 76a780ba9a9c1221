import * as rendezvousWeight from "../_lib/rendezvousWeight/index.js";

/**
 * The first member of rankByRendezvous, without ranking the others.
 *
 * @param key - what is placed
 * @param members - candidates
 * @returns undefined where there are none
 */
export function firstByRendezvous<T extends { readonly name: string }>(
  key: string,
  members: readonly T[],
): T | undefined {
  const keyHash = rendezvousWeight.hashName(key);
  let first: T | undefined;
  let firstWeight = -1;
  for (const member of members) {
    const weight = rendezvousWeight.rendezvousWeight(keyHash, member);
    const isTieWon = weight === firstWeight && first !== undefined && member.name < first.name;
    if (weight <= firstWeight && !isTieWon) continue;
    first = member;
    firstWeight = weight;
  }
  return first;
}
