import type * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as diagnostics from "../../../diagnostics/index.js";

/** What was evicted because the byte budget was exceeded. */
export interface Eviction {
  readonly holder: byteBudgets.ByteHolder;
  readonly requestId: string;
  /** The server whose answer it was; null if it was the caller's body or its unread answer. */
  readonly serverId: string | null;
  readonly sizeBytes: number;
}

/** Logs an evicted body or answer, with the bytes that are still held. */
export function recordEviction(
  log: diagnostics.DecisionLog,
  bytes: byteBudgets.ByteBudget,
  eviction: Eviction,
): void {
  log.record(diagnostics.Importance.Notable, diagnostics.LogEvent.BytesEvicted, {
    ...eviction,
    usedBytes: bytes.usedBytes,
    limitBytes: bytes.limitBytes,
  });
}
