/** A communicating party: a VM, a backend server or the platform. */
export interface Party {
  readonly name: string;
  readonly dataCentre: string;
}

/** The platform's services, which are in no data centre of the scenario. */
export const PLATFORM: Party = { name: "platform", dataCentre: "platform" };

/**
 * The network partitions of a scenario. Each end of a partitioned link is the name of a party or of
 * a data centre.
 */
export class LinkTable {
  private readonly partitions = new Set<string>();
  private readonly listeners = new Set<() => void>();

  /** Partitions two ends from each other. */
  cut(left: string, right: string): void {
    this.partitions.add(createLinkKey(left, right));
    this.notifyListeners();
  }

  /** Ends the partition between two ends. */
  heal(left: string, right: string): void {
    this.partitions.delete(createLinkKey(left, right));
    this.notifyListeners();
  }

  /** Whether a partition separates two parties, by name or by data centre. */
  isPartitioned(from: Party, to: Party): boolean {
    const fromNames = [from.name, from.dataCentre];
    const toNames = [to.name, to.dataCentre];
    return fromNames.some((left) =>
      toNames.some((right) => this.partitions.has(createLinkKey(left, right))),
    );
  }

  /** Calls a listener after each change, until the result is disposed. */
  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

function createLinkKey(left: string, right: string): string {
  return [left, right].sort().join("|");
}
