import type * as fleet from "../../../src/fleet/types.js";
import * as fleetTypes from "../../../src/fleet/types.js";

/** The fleet view of one VM, with member states set by the test. */
export class FakeFleetView implements fleet.FleetView {
  private readonly states = new Map<string, fleet.MemberState>();
  private readonly listeners = new Set<() => void>();

  constructor(
    readonly self: fleet.VmIdentity,
    private readonly identities: readonly fleet.VmIdentity[],
  ) {}

  members(): readonly fleet.VmMember[] {
    return this.identities.map((identity) => ({
      ...identity,
      state: this.states.get(identity.name) ?? fleetTypes.MemberState.Live,
      incarnation: 1,
    }));
  }

  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Sets the state in which this VM sees another VM. */
  setState(vmName: string, state: fleet.MemberState): void {
    this.states.set(vmName, state);
    for (const listener of this.listeners) listener();
  }
}

/** Creates the identity of a VM that exists only in this process. */
export function createVmIdentity(name: string, dataCentre: string): fleet.VmIdentity {
  return {
    name,
    region: "test-region",
    dataCentre,
    peerAddress: "127.0.0.1",
    peerPort: 0,
    heartbeatPort: 0,
  };
}
