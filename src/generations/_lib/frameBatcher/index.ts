import type * as types from "../../types.js";
import type * as peerLinks from "../peerLink/index.js";

/** Gathers frames per VM and sends those of one turn of the event loop in one notification. */
export class FrameBatcher {
  private readonly pending = new Map<string, types.TokenFrame[]>();
  private isFlushPlanned = false;

  constructor(
    private readonly link: peerLinks.PeerLink,
    private readonly method: string,
  ) {}

  push(vmName: string, frame: types.TokenFrame): void {
    const frames = this.pending.get(vmName);
    if (frames === undefined) this.pending.set(vmName, [frame]);
    else frames.push(frame);
    if (this.isFlushPlanned) return;
    this.isFlushPlanned = true;
    setImmediate(() => {
      this.flush();
    });
  }

  private flush(): void {
    this.isFlushPlanned = false;
    for (const [vmName, frames] of this.pending) this.link.notify(vmName, this.method, frames);
    this.pending.clear();
  }
}

/** Checks frames that came from another VM by hand, since there are many. */
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
