import type * as http from "node:http";

import type * as backends from "../../../src/backends/types.js";
import type * as types from "../types.js";

/** One response that sends an engine's stream as server-sent events in the OpenAI format. */
export class EventStream implements types.StreamSink {
  private text = "";
  private hasBegun = false;
  private isDetached = false;
  private isFinished = false;

  /**
   * @param nextOffset - offset of the first token to send
   * @param resumeFrom - resumes the stream from an offset once a slow reader has drained the response
   */
  constructor(
    private readonly response: http.ServerResponse,
    private readonly requestId: string,
    private nextOffset: number,
    private readonly resumeFrom: (offset: number) => void,
  ) {}

  /** Sends the headers, and the frames received before them. */
  begin(): void {
    this.hasBegun = true;
    this.response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
    this.response.flushHeaders();
    this.flush();
  }

  onFrame(frame: backends.EngineFrame): void {
    if (this.isDetached || this.isFinished || this.response.destroyed) return;
    const skippedCount = Math.max(0, this.nextOffset - frame.offset);
    const tokens = frame.tokens.slice(skippedCount);
    this.isFinished = frame.finishReason !== null;
    if (tokens.length === 0 && !this.isFinished) return;
    this.nextOffset = frame.offset + skippedCount;
    this.text += this.encode(tokens, frame.finishReason);
    this.nextOffset += tokens.length;
    if (this.hasBegun) this.flush();
  }

  onBroken(): void {
    this.response.destroy();
  }

  private encode(tokens: readonly string[], finishReason: backends.FinishReason | null): string {
    const choice = {
      index: 0,
      text: tokens.join(""),
      finish_reason: finishReason,
      ...(tokens.length > 1 ? { logprobs: { tokens } } : {}),
    };
    const data = { id: this.requestId, object: "text_completion", choices: [choice] };
    return `id: ${this.requestId}:${this.nextOffset}\ndata: ${JSON.stringify(data)}\n\n`;
  }

  private flush(): void {
    if (this.response.destroyed) return;
    const text = this.text;
    this.text = "";
    if (this.isFinished) {
      this.response.end(`${text}data: [DONE]\n\n`);
      return;
    }
    if (text === "" || this.response.write(text)) return;
    this.isDetached = true;
    this.response.once("drain", () => this.reattach());
  }

  /** Resumes the stream; the engine has kept the tokens produced meanwhile. */
  private reattach(): void {
    this.isDetached = false;
    this.resumeFrom(this.nextOffset);
  }
}
