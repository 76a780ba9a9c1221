import * as fleet from "../../../src/fleet/types.js";

/** A fleet view whose members a test sets. */
export class SettableFleetView implements fleet.FleetView {
  readonly self: fleet.VmIdentity;
  private readonly listeners = new Set<() => void>();
  private current: readonly fleet.VmMember[];

  constructor(
    selfName: string,
    private readonly names: readonly string[],
  ) {
    this.self = identityOf(selfName);
    this.current = names.map((name) => memberOf(name, fleet.MemberState.Live));
  }

  members(): readonly fleet.VmMember[] {
    return this.current;
  }

  /** Makes all members live but those given, which get a state. */
  set(states: Readonly<Record<string, fleet.MemberState>>): void {
    this.current = this.names.map((name) => memberOf(name, states[name] ?? fleet.MemberState.Live));
    for (const listener of this.listeners) listener();
  }

  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }
}

function memberOf(name: string, state: fleet.MemberState): fleet.VmMember {
  return { ...identityOf(name), state, incarnation: 1 };
}

function identityOf(name: string): fleet.VmIdentity {
  return {
    name,
    region: "riga",
    dataCentre: "riga-a",
    peerAddress: "10.0.0.1",
    peerPort: 7_001,
    heartbeatPort: 7_000,
  };
}
