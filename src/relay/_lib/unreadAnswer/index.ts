import type * as http from "node:http";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import type * as clocks from "../../../_lib/clock/index.js";
import type * as diagnostics from "../../../diagnostics/index.js";
import * as constants from "../../constants.js";
import * as evictions from "../recordEviction/index.js";

/** Where what a caller has not read is counted, and its end logged. */
export interface UnreadContext {
  readonly bytes: byteBudgets.ByteBudget;
  readonly clock: clocks.Clock;
  readonly log: diagnostics.DecisionLog;
}

/**
 * The part of an answer that is buffered because its caller reads slowly, reserved in the byte budget. The connection
 * is closed if the caller reads nothing for `UNREAD_GRACE_MS` while the budget is exceeded.
 */
export class UnreadAnswer {
  private readonly reservation: byteBudgets.ByteReservation;
  private sizeBytes = 0;
  private unreadSinceMs: number | null = null;
  private timer: Disposable | null = null;

  constructor(
    private readonly context: UnreadContext,
    private readonly requestId: string,
    private readonly response: Pick<http.ServerResponse, "destroy" | "once">,
  ) {
    this.reservation = context.bytes.open({
      holder: byteBudgets.ByteHolder.UnreadAnswers,
      onEvicted: () => this.onEvicted(),
    });
    const end = (): void => this.end();
    response.once("finish", end);
    response.once("close", end);
  }

  /** Sets what the caller has not read now. */
  resize(sizeBytes: number): void {
    if (this.reservation.hasEnded) return;
    this.sizeBytes = sizeBytes;
    this.unreadSinceMs = sizeBytes === 0 ? null : this.context.clock.nowMs();
    if (sizeBytes === 0) this.stopChecks();
    else if (this.timer === null) this.scheduleCheck();
    this.reservation.resize(sizeBytes);
  }

  private scheduleCheck(): void {
    const { clock } = this.context;
    this.timer = clock.schedule(constants.UNREAD_CHECK_INTERVAL_MS, () => this.check());
  }

  private check(): void {
    const { bytes, clock } = this.context;
    this.scheduleCheck();
    const unreadMs = clock.nowMs() - (this.unreadSinceMs ?? Infinity);
    const isExceeded = bytes.receivedBytes > constants.MAX_UNREAD_RATIO * bytes.limitBytes;
    if (isExceeded && unreadMs >= constants.UNREAD_GRACE_MS) bytes.evict(this.reservation);
  }

  private stopChecks(): void {
    this.timer?.[Symbol.dispose]();
    this.timer = null;
  }

  private end(): void {
    this.stopChecks();
    this.reservation[Symbol.dispose]();
  }

  private onEvicted(): void {
    const { bytes, log } = this.context;
    const { requestId, sizeBytes } = this;
    this.stopChecks();
    evictions.recordEviction(log, bytes, {
      holder: byteBudgets.ByteHolder.UnreadAnswers,
      requestId,
      serverId: null,
      sizeBytes,
    });
    this.response.destroy();
  }
}
