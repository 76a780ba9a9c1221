import type * as types from "../../types.js";

/** A VM that may read the store for the others. */
export type Reader = Pick<types.Peer, "vmName" | "dataCentre" | "coresCount" | "reachesStore">;

/**
 * Orders the VMs by who reads the store first: those that reach it before the others; among them the
 * largest of each data centre, then the second largest of each, and so on.
 */
export function rankReaders(readers: readonly Reader[]): readonly Reader[] {
  const bySize = [...readers].sort(compareReaders);
  const countByGroup = new Map<string, number>();
  const placed = bySize.map((reader) => {
    const group = `${reader.reachesStore} ${reader.dataCentre}`;
    const place = countByGroup.get(group) ?? 0;
    countByGroup.set(group, place + 1);
    return { reader, place };
  });
  const ordered = placed.sort(
    (left, right) =>
      compareReach(left.reader, right.reader) ||
      left.place - right.place ||
      compareReaders(left.reader, right.reader),
  );
  return ordered.map(({ reader }) => reader);
}

function compareReach(left: Reader, right: Reader): number {
  return Number(right.reachesStore) - Number(left.reachesStore);
}

function compareReaders(left: Reader, right: Reader): number {
  const order = compareReach(left, right) || right.coresCount - left.coresCount;
  return order || (left.vmName < right.vmName ? -1 : 1);
}
