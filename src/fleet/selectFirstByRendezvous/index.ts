import * as computeRendezvousWeight from "../_lib/computeRendezvousWeight/index.js";

/**
 * Returns the first member in the order of rankByRendezvous, without ranking the others.
 *
 * @param key - the name of the item to be assigned, e.g. of an engine
 * @param members - the candidates
 * @returns undefined if there are no members
 */
export function selectFirstByRendezvous<T extends { readonly name: string }>(
  key: string,
  members: readonly T[],
): T | undefined {
  const keyHash = computeRendezvousWeight.hashName(key);
  let first: T | undefined;
  let firstWeight = -1;
  for (const member of members) {
    const weight = computeRendezvousWeight.computeRendezvousWeight(keyHash, member);
    const isTieWon = weight === firstWeight && first !== undefined && member.name < first.name;
    if (weight <= firstWeight && !isTieWon) continue;
    first = member;
    firstWeight = weight;
  }
  return first;
}
