/**
 * Bounds the number of entries that other VMs may make in a table. When it is reached, a further entry takes the place
 * of the oldest one of the VM with the most entries, so that one VM takes no room from the others.
 */
export class PeerEntries {
  private readonly keysByVm = new Map<string, Set<string>>();
  private entriesCount = 0;
  private turnedAway = 0;

  /**
   * @param maxCount - most entries
   * @param onRemoved - removes an entry that makes room for another one
   */
  constructor(
    private readonly maxCount: number,
    private readonly onRemoved: (key: string) => void,
  ) {}

  /** Number of entries. */
  get count(): number {
    return this.entriesCount;
  }

  /** Number of entries that were not taken, or removed for others, since the start. */
  get turnedAwayCount(): number {
    return this.turnedAway;
  }

  /** Adds an entry; returns false if the table is full and no other VM has more entries than this one. */
  add(vmName: string, key: string): boolean {
    const keys = this.keysByVm.get(vmName) ?? new Set();
    if (keys.has(key)) return true;
    if (this.entriesCount >= this.maxCount && !this.makeRoom(keys.size)) return false;
    this.keysByVm.set(vmName, keys.add(key));
    this.entriesCount += 1;
    return true;
  }

  /** Removes an entry, if there is one. */
  delete(vmName: string, key: string): void {
    const keys = this.keysByVm.get(vmName);
    if (keys?.delete(key) !== true) return;
    this.entriesCount -= 1;
    if (keys.size === 0) this.keysByVm.delete(vmName);
  }

  /** Removes the oldest entry of the VM with the most entries; returns false if no VM has more than the sender. */
  private makeRoom(senderCount: number): boolean {
    this.turnedAway += 1;
    let largest: readonly [string, ReadonlySet<string>] | null = null;
    for (const [vmName, keys] of this.keysByVm) {
      if (keys.size > (largest?.[1].size ?? senderCount)) largest = [vmName, keys];
    }
    const [vmName, keys] = largest ?? [];
    if (vmName === undefined || keys === undefined) return false;
    for (const key of keys) {
      this.delete(vmName, key);
      this.onRemoved(key);
      return true;
    }
    return false;
  }
}
