import * as fleet from "../../../src/fleet/types.js";

/** A fleet of known members whose states a test sets; each VM has its own view. */
export class FleetModel {
  private readonly membersByName = new Map<string, fleet.VmMember>();
  private readonly listeners = new Set<() => void>();

  /** Adds a VM, or returns it to life. */
  add(name: string, dataCentre: string): void {
    this.membersByName.set(name, {
      name,
      region: "region",
      dataCentre,
      peerAddress: "127.0.0.1",
      peerPort: 1,
      heartbeatPort: 1,
      state: fleet.MemberState.Live,
      incarnation: 1,
    });
    this.changed();
  }

  setState(name: string, state: fleet.MemberState): void {
    const member = this.membersByName.get(name);
    if (member === undefined) return;
    this.membersByName.set(name, { ...member, state });
    this.changed();
  }

  /** The fleet as one of its VMs sees it. */
  viewOf(name: string): fleet.FleetView {
    const self = this.membersByName.get(name);
    if (self === undefined) throw new Error(`${name} is not a member`);
    return {
      self,
      members: () => [...this.membersByName.values()],
      onChange: (listener) => {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => this.listeners.delete(listener) };
      },
    };
  }

  private changed(): void {
    for (const listener of this.listeners) listener();
  }
}
