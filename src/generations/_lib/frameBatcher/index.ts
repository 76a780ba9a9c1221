import type * as types from "../../types.js";
import type * as peerLinks from "../peerLink/index.js";

/** Batches frames per VM; sends those of one event loop iteration in one notification. */
export class FrameBatcher {
  private readonly pending = new Map<string, types.TokenFrame[]>();
  private isFlushScheduled = false;

  constructor(
    private readonly link: peerLinks.PeerLink,
    private readonly method: string,
  ) {}

  /** Adds a frame to the next notification to a VM. */
  push(vmName: string, frame: types.TokenFrame): void {
    const frames = this.pending.get(vmName);
    if (frames === undefined) this.pending.set(vmName, [frame]);
    else frames.push(frame);
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.flush();
    });
  }

  private flush(): void {
    this.isFlushScheduled = false;
    for (const [vmName, frames] of this.pending) this.link.notify(vmName, this.method, frames);
    this.pending.clear();
  }
}

/** Validates frames from another VM without a schema, for speed; drops malformed ones. */
export function parseFrames(params: unknown): readonly types.TokenFrame[] {
  if (!Array.isArray(params)) return [];
  return params.filter(isTokenFrame);
}

function isTokenFrame(value: unknown): value is types.TokenFrame {
  if (typeof value !== "object" || value === null) return false;
  const frame = value as Partial<Record<keyof types.TokenFrame, unknown>>;
  return (
    typeof frame.requestId === "string" &&
    typeof frame.attempt === "number" &&
    typeof frame.offset === "number" &&
    Array.isArray(frame.tokens) &&
    frame.tokens.every((token) => typeof token === "string") &&
    (frame.finishReason === null || typeof frame.finishReason === "string")
  );
}
