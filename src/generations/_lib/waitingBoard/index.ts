import type * as backends from "../../../backends/types.js";
import * as engines from "../../../engines/index.js";
import type * as messages from "../messages/index.js";

/** How long a VM's word about its waiting work is believed. */
const WAITING_EXPIRY_MS = 2_000;

interface ToldWork {
  readonly items: readonly messages.WaitingItem[];
  readonly toldAtMs: number;
}

/** The most urgent work that a VM has waiting. */
export interface UrgentWork {
  readonly vmName: string;
  readonly item: messages.WaitingItem;
}

/** What other VMs have waiting, as they told this home. */
export class WaitingBoard {
  private readonly told = new Map<string, ToldWork>();

  take(vmName: string, items: readonly messages.WaitingItem[], nowMs: number): void {
    if (items.length === 0) this.told.delete(vmName);
    else this.told.set(vmName, { items, toldAtMs: nowMs });
  }

  /** Forgets one request, once it was offered room or has started. */
  remove(requestId: string): void {
    for (const [vmName, work] of this.told) {
      const items = work.items.filter((item) => item.requestId !== requestId);
      if (items.length < work.items.length) this.told.set(vmName, { ...work, items });
    }
  }

  /** The most urgent work, wherever it waits, that an engine with these models could run. */
  mostUrgent(loadedModels: readonly backends.LoadedModel[], nowMs: number): UrgentWork | null {
    let urgent: UrgentWork | null = null;
    for (const [vmName, { items, toldAtMs }] of this.told) {
      if (nowMs - toldAtMs > WAITING_EXPIRY_MS) {
        this.told.delete(vmName);
        continue;
      }
      for (const item of items) {
        if (!engines.hasModelLoaded(loadedModels, item)) continue;
        if (urgent === null || isMoreUrgent(item, urgent.item)) urgent = { vmName, item };
      }
    }
    return urgent;
  }
}

function isMoreUrgent(left: messages.WaitingItem, right: messages.WaitingItem): boolean {
  if (left.rank !== right.rank) return left.rank < right.rank;
  return left.deadlineInMs < right.deadlineInMs;
}
