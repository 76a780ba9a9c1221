/** Something with a place: a VM, a backend server or the platform. */
export interface Place {
  readonly name: string;
  readonly dataCentre: string;
}

/** The platform's services stand in no data centre of the scenario. */
export const PLATFORM: Place = { name: "platform", dataCentre: "platform" };

/** Which places are cut off from each other; an end is a name or a data centre. */
export class LinkTable {
  private readonly cuts = new Set<string>();
  private readonly listeners = new Set<() => void>();

  cut(left: string, right: string): void {
    this.cuts.add(linkKey(left, right));
    this.announce();
  }

  heal(left: string, right: string): void {
    this.cuts.delete(linkKey(left, right));
    this.announce();
  }

  isCut(from: Place, to: Place): boolean {
    const fromNames = [from.name, from.dataCentre];
    const toNames = [to.name, to.dataCentre];
    return fromNames.some((left) => toNames.some((right) => this.cuts.has(linkKey(left, right))));
  }

  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  private announce(): void {
    for (const listener of this.listeners) listener();
  }
}

function linkKey(left: string, right: string): string {
  return [left, right].sort().join("|");
}
