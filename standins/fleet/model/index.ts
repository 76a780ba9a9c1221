import * as fleet from "../../../src/fleet/types.js";

/** A fleet whose member states a test sets; all VMs see the same states. */
export class FleetModel {
  private readonly memberByName = new Map<string, fleet.VmMember>();
  private readonly listeners = new Set<() => void>();

  /** Adds a VM, or makes it live again. */
  add(name: string, dataCentre: string): void {
    this.memberByName.set(name, {
      name,
      region: "region",
      dataCentre,
      peerAddress: "127.0.0.1",
      peerPort: 1,
      heartbeatPort: 1,
      state: fleet.MemberState.Live,
      incarnation: 1,
    });
    this.notifyListeners();
  }

  /** Sets the state of a VM; does nothing if it is not a member. */
  setState(name: string, state: fleet.MemberState): void {
    const member = this.memberByName.get(name);
    if (member === undefined) return;
    this.memberByName.set(name, { ...member, state });
    this.notifyListeners();
  }

  /** Returns the fleet view of one VM; throws if it is not a member. */
  viewOf(name: string): fleet.FleetView {
    const self = this.memberByName.get(name);
    if (self === undefined) throw new Error(`VM ${name} is not a member of the fleet`);
    return {
      self,
      members: () => [...this.memberByName.values()],
      onChange: (listener) => {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => this.listeners.delete(listener) };
      },
    };
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}
