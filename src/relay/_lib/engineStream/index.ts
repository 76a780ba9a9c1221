import type * as http from "node:http";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as answerFaults from "../answerFaultOf/index.js";
import * as collectBodies from "../collectBody/index.js";
import * as eventSplitter from "../eventSplitter/index.js";
import * as openAttempts from "../openAttempt/index.js";

/** How a stream from an engine ended. */
export enum StreamEnd {
  /** The engine ended it with its last event. */
  Whole = "whole",
  /** It broke off, or said what cannot follow. */
  CutOff = "cut-off",
  /** This VM closed it. */
  Closed = "closed",
}

/** How asking an engine for a stream ended. */
export enum OpenKind {
  Open = "open",
  NotRun = "not-run",
  /** A whole answer that is no stream, such as a failure. */
  Answered = "answered",
  Unknown = "unknown",
}

/** The outcome of asking an engine for a stream. */
export type OpenOutcome =
  | { readonly kind: OpenKind.Open; readonly stream: EngineStream; readonly head: types.AnswerHead }
  | {
      readonly kind: OpenKind.NotRun;
      readonly cause: string;
      readonly wasSent: boolean;
      readonly isOtherServer: boolean;
    }
  | { readonly kind: OpenKind.Answered; readonly head: types.AnswerHead; readonly body: Buffer }
  | { readonly kind: OpenKind.Unknown; readonly cause: string };

/** Takes an event; false asks to pause until the promise of resumption. */
export interface EventConsumer {
  /** Returns false for an event that cannot follow; the stream is cut off then. */
  take(event: eventSplitter.StreamEvent): boolean;
  /** Resolves once more events may come; null where they may come at once. */
  backpressure(): Promise<void> | null;
  /** Called when nothing came for a while, and again for as long as that lasts. */
  onSilence(): void;
}

const OK_STATUS = 200;

/** How a stream is asked for. */
export interface OpenRequest {
  readonly server: servers.ServerEntry;
  /** What the call is sent with; asked for once the connection stands. */
  readonly options: () => types.AttemptOptions;
  /** Called once the connection stands and before anything is sent; false gives the attempt up. */
  readonly onConnected?: () => boolean;
  readonly signal: AbortSignal;
}

/** Asks an engine for a stream. */
export async function openStream(
  codec: types.WireCodec,
  call: types.Call,
  { server, options, onConnected, signal }: OpenRequest,
): Promise<OpenOutcome> {
  const opening = await openAttempts.openAttempt({
    host: server.host,
    port: server.port,
    method: call.head.method,
    target: call.head.target,
    headers: () => codec.encodeAttempt(call, options()),
    body: call.body,
    connectTimeoutMs: constants.CONNECT_TIMEOUT_MS,
    signal,
    ...(onConnected === undefined ? {} : { onConnected }),
  });
  if (opening.kind === openAttempts.OpeningKind.NotSent) {
    return { kind: OpenKind.NotRun, cause: opening.cause, wasSent: false, isOtherServer: false };
  }
  if (opening.kind === openAttempts.OpeningKind.Lost) {
    return { kind: OpenKind.Unknown, cause: opening.cause };
  }
  const head = codec.decodeAnswer(opening.message);
  if (head.isNotRun) {
    opening.close();
    const cause = `status ${head.status}`;
    return { kind: OpenKind.NotRun, cause, wasSent: true, isOtherServer: head.isOtherServer };
  }
  const fault = answerFaults.answerFaultOf(call, head);
  if (fault !== null) {
    opening.close();
    return { kind: OpenKind.Unknown, cause: fault };
  }
  if (head.status === OK_STATUS) {
    const stream = new EngineStream(server, opening);
    return { kind: OpenKind.Open, stream, head };
  }
  return takeWhole(head, opening);
}

/** A stream of events from an engine. */
export class EngineStream {
  private readonly splitter = new eventSplitter.EventSplitter();
  private readonly message: http.IncomingMessage;
  private isClosed = false;
  private isFaulty = false;

  constructor(
    readonly server: servers.ServerEntry,
    private readonly opening: openAttempts.AnsweredOpening,
  ) {
    this.message = opening.message;
  }

  /** Whether this VM has closed the stream. */
  get isClosedHere(): boolean {
    return this.isClosed;
  }

  /** Closes the connection, upon which the engine drops the run. */
  close(): void {
    this.isClosed = true;
    this.opening.close();
  }

  /** Passes all events to a consumer, in order, until the stream ends. */
  forward(consumer: EventConsumer, clock: clocks.Clock): Promise<StreamEnd> {
    return new Promise((resolve) => {
      let silence = this.watchSilence(consumer, clock);
      const finish = (): void => {
        silence[Symbol.dispose]();
        void this.endOf().then(resolve);
      };
      this.message.on("data", (chunk: Buffer) => {
        if (this.isClosed || this.isFaulty) return;
        silence[Symbol.dispose]();
        this.takeChunk(chunk, consumer);
        silence = this.watchSilence(consumer, clock);
      });
      this.message.once("end", finish);
      this.message.once("close", finish);
      if (this.message.destroyed) finish();
    });
  }

  private takeChunk(chunk: Buffer, consumer: EventConsumer): void {
    for (const event of this.splitter.push(chunk)) {
      if (consumer.take(event)) continue;
      this.isFaulty = true;
      this.opening.close();
      return;
    }
    const resumed = consumer.backpressure();
    if (resumed === null) return;
    this.message.pause();
    void resumed.then(() => this.message.resume());
  }

  private watchSilence(consumer: EventConsumer, clock: clocks.Clock): Disposable {
    let timer: Disposable;
    const watch = (): void => {
      timer = clock.schedule(constants.STREAM_SILENCE_MS, () => {
        watch();
        consumer.onSilence();
      });
    };
    watch();
    return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
  }

  private async endOf(): Promise<StreamEnd> {
    if (this.isClosed) return StreamEnd.Closed;
    const isComplete = this.message.complete && !(await this.opening.isCutByReset());
    const isWhole = isComplete && !this.splitter.hasRest && !this.isFaulty;
    return isWhole ? StreamEnd.Whole : StreamEnd.CutOff;
  }
}

async function takeWhole(
  head: types.AnswerHead,
  opening: openAttempts.AnsweredOpening,
): Promise<OpenOutcome> {
  const collected = await collectBodies.collectBody(opening.message, constants.MAX_ANSWER_BYTES);
  const isCut = await opening.isCutByReset();
  opening.close();
  if (collected.end === collectBodies.BodyEnd.Whole && !isCut) {
    return { kind: OpenKind.Answered, head, body: collected.body };
  }
  return { kind: OpenKind.Unknown, cause: `body of status ${head.status} ${collected.end}` };
}
