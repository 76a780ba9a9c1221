import type * as backends from "../../../backends/types.js";
import * as engines from "../../../engines/index.js";
import type * as messages from "../messages/index.js";

/** Age after which a VM's report of its waiting requests is ignored. */
const WAITING_EXPIRY_MS = 2_000;

interface WaitingReport {
  readonly items: readonly messages.WaitingItem[];
  readonly reportedAtMs: number;
}

/** A waiting request, and the VM at which it waits. */
export interface QueuedRequest {
  readonly vmName: string;
  readonly item: messages.WaitingItem;
}

/** Requests that wait at any VM, as reported to this home. */
export class FleetQueue {
  private readonly reports = new Map<string, WaitingReport>();

  /** Replaces the waiting requests that a VM reported. */
  recordReport(vmName: string, items: readonly messages.WaitingItem[], nowMs: number): void {
    if (items.length === 0) this.reports.delete(vmName);
    else this.reports.set(vmName, { items, reportedAtMs: nowMs });
  }

  /** Removes a request that was offered capacity or has started. */
  remove(requestId: string): void {
    for (const [vmName, report] of this.reports) {
      const items = report.items.filter((item) => item.requestId !== requestId);
      if (items.length < report.items.length) this.reports.set(vmName, { ...report, items });
    }
  }

  /** Selects the most urgent request of any VM that an engine with these loaded models can run. */
  selectMostUrgent(
    loadedModels: readonly backends.LoadedModel[],
    nowMs: number,
  ): QueuedRequest | null {
    let urgent: QueuedRequest | null = null;
    for (const [vmName, { items, reportedAtMs }] of this.reports) {
      if (nowMs - reportedAtMs > WAITING_EXPIRY_MS) {
        this.reports.delete(vmName);
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
