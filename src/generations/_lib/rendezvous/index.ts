import * as crypto from "node:crypto";

/**
 * Orders names by their rendezvous weight for a key, the heaviest first.
 *
 * @param key - what a place is sought for
 * @param names - the candidates; a candidate's weight does not depend on the others
 */
export function rankByRendezvous(key: string, names: readonly string[]): readonly string[] {
  const weighted = names.map((name) => ({ name, weight: weightOf(key, name) }));
  weighted.sort((left, right) => (left.weight < right.weight ? 1 : -1));
  return weighted.map((item) => item.name);
}

function weightOf(key: string, name: string): string {
  return crypto.createHash("sha1").update(`${key}\0${name}`).digest("hex");
}
