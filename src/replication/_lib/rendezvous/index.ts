import * as crypto from "node:crypto";

/**
 * Names in the order of their rendezvous weight for a key, the heaviest first. All VMs that see
 * the same names get the same order, and a name's absence moves no other.
 */
export function rankByRendezvous(names: readonly string[], key: string): string[] {
  return names
    .map((name) => ({ name, weight: weightOf(name, key) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map((ranked) => ranked.name);
}

function weightOf(name: string, key: string): number {
  return crypto.createHash("sha256").update(`${key}\0${name}`).digest().readUInt32BE(0);
}
