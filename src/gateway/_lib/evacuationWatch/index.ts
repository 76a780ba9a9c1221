import * as sharedView from "../../../sharedView/index.js";
import type * as virtualFleets from "../virtualFleet/index.js";
import type * as virtualStores from "../virtualStore/index.js";

/** Time from an evacuation's confirmation to the last request that reaches the data centre. */
const EVACUATE_MS = 5_000;

/** Time from the end of an evacuation within which the servers there get work again. */
const TAKE_BACK_MS = 3_000;

interface Order {
  readonly isEvacuated: boolean;
  readonly confirmedAtMs: number;
}

/** The operators' orders to evacuate data centres, and how the VMs of a fleet follow them. */
export class EvacuationWatch {
  private readonly orders = new Map<string, Order>();
  /** Orders that each process has followed. */
  private readonly followed = new Map<virtualFleets.VirtualVm, Set<Order>>();

  /** Records an order that the store has confirmed. */
  order(dataCentre: string, isEvacuated: boolean, confirmedAtMs: number): void {
    this.orders.set(dataCentre, { isEvacuated, confirmedAtMs });
  }

  /** Whether the newest order is that a data centre is evacuated. */
  isEvacuated(dataCentre: string): boolean {
    return this.orders.get(dataCentre)?.isEvacuated === true;
  }

  /** Writes the newest order for each data centre to the store. */
  writeTo(store: virtualStores.VirtualStore): void {
    for (const [dataCentre, { isEvacuated }] of this.orders) {
      const value = isEvacuated ? "{}" : null;
      store.append(sharedView.Topic.Configuration, `evacuate/${dataCentre}`, value);
    }
  }

  /** Returns how a VM violates the orders: one is not followed in time, or not any more. */
  check(vm: virtualFleets.VirtualVm, nowMs: number, isInTouch: boolean): readonly string[] {
    const findings: string[] = [];
    const followed = this.followed.get(vm) ?? new Set();
    this.followed.set(vm, followed);
    for (const [dataCentre, order] of this.orders) {
      const isUsed = vm.directory
        .listAvailable("s")
        .some(({ entry }) => entry.dataCentre === dataCentre);
      const subject = `${vm.name} ${isUsed ? "uses" : "spares"} ${dataCentre} at ${nowMs} ms`;
      const limitMs = order.isEvacuated ? EVACUATE_MS : TAKE_BACK_MS;
      if (isUsed !== order.isEvacuated) followed.add(order);
      else if (followed.has(order)) findings.push(`${subject} again`);
      else if (isInTouch && nowMs > order.confirmedAtMs + limitMs) findings.push(subject);
    }
    return findings;
  }
}
