import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import type * as collectBodies from "../collectBody/index.js";

/** The body of an answer; its bytes are counted until it is passed on, given up or disposed of. */
export class HeldBody implements Disposable {
  readonly sizeBytes: number;
  private kept: readonly Buffer[];
  private isGivenUp = false;

  constructor(
    readonly end: collectBodies.BodyEnd,
    chunks: readonly Buffer[],
    private readonly reservation: byteBudgets.ByteReservation | null,
  ) {
    this.kept = chunks;
    this.sizeBytes = chunks.reduce((sumBytes, chunk) => sumBytes + chunk.length, 0);
  }

  /** The body in order; empty after it was given up. */
  get chunks(): readonly Buffer[] {
    return this.kept;
  }

  /** Whether the complete body was evicted because the byte budget was exceeded. */
  get wasEvicted(): boolean {
    return this.isGivenUp;
  }

  /** Gives up the bytes. */
  evict(): void {
    this.isGivenUp = true;
    this.kept = [];
  }

  /** Ends the count; the bytes stay readable for who holds them still. */
  [Symbol.dispose](): void {
    this.reservation?.[Symbol.dispose]();
  }
}
