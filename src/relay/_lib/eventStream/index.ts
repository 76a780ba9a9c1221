import type * as http from "node:http";

import type * as byteBudgets from "../../../_lib/byteBudget/index.js";
import type * as clocks from "../../../_lib/clock/index.js";
import type * as crashes from "../../../crashes/index.js";
import type * as servers from "../../../servers/index.js";
import type * as answerIntakes from "../../answerIntake/index.js";
import * as eventSplitter from "../eventSplitter/index.js";
import * as openAttempts from "../openAttempt/index.js";
import * as silenceWatches from "../watchSilence/index.js";

/** How a stream from an engine ended. */
export enum StreamEnd {
  /** The engine ended it after its last event. */
  Complete = "whole",
  /** The connection broke, or an event was out of sequence. */
  Truncated = "cut-off",
  /** This VM closed it. */
  Closed = "closed",
}

/** Receives the events of a stream. */
export interface EventConsumer {
  /** Handles an event; returns false if it is out of sequence, which ends the stream as truncated. */
  handleEvent(event: eventSplitter.StreamEvent): boolean;
  /** Resolves when more events are accepted; null if they are accepted at once. */
  backpressure(): Promise<void> | null;
  /** Called after each `STREAM_SILENCE_TIMEOUT_MS` without data. */
  onSilence(): void;
}

/** Returns the end of a generation's stream: one without any event is not complete. */
export function requireEvents(end: StreamEnd, lastEventId: number): StreamEnd {
  return end === StreamEnd.Complete && lastEventId === 0 ? StreamEnd.Truncated : end;
}

/** Where a stream's incomplete event is counted, and for which call. */
interface StreamCounting {
  readonly answers: Pick<answerIntakes.AnswerIntake, "openEvent">;
  readonly requestId: string;
}

/** A stream of events from an engine. */
export class EngineStream {
  private readonly splitter = new eventSplitter.EventSplitter();
  private readonly message: http.IncomingMessage;
  private readonly held: byteBudgets.ByteReservation;
  private isClosed = false;
  /** Whether an event was out of sequence, too large, or had to make room for others. */
  private hasSequenceFault = false;
  private hasEvents = false;
  /** Whether the engine may have stopped the run; null if it was not asked to. */
  private mayBeStopped: Promise<boolean> | null = null;

  constructor(
    readonly server: servers.ServerEntry,
    private readonly opening: openAttempts.AnsweredOpening,
    private readonly watched: crashes.WatchedRun,
    { answers, requestId }: StreamCounting,
  ) {
    this.message = opening.message;
    this.held = answers.openEvent({
      requestId,
      serverId: server.id,
      heldBytes: () => this.splitter.heldBytes,
      close: () => this.closeAsFaulty(),
    });
  }

  /** Whether this VM closed the stream. */
  get isClosedLocally(): boolean {
    return this.isClosed;
  }

  /** Whether the head of the stream says where it ends. */
  get isFramed(): boolean {
    return openAttempts.isFramed(this.message);
  }

  /**
   * Records that the engine was asked to stop the run. It then closes the stream without its end.
   *
   * @param mayBeStopped - resolves with whether it may have done so, when it has answered
   */
  expectStop(mayBeStopped: Promise<boolean>): void {
    this.mayBeStopped = mayBeStopped;
  }

  /** Closes the connection, upon which the engine aborts the run. */
  close(): void {
    this.isClosed = true;
    this.held[Symbol.dispose]();
    this.watched[Symbol.dispose]();
    this.opening.close();
  }

  /** Forwards all events to a consumer, in order, until the stream ends. */
  forward(consumer: EventConsumer, clock: clocks.Clock): Promise<StreamEnd> {
    return new Promise((resolve, reject) => {
      let silence = silenceWatches.watchSilence(clock, () => consumer.onSilence());
      let hasEnded = false;
      const finish = (): void => {
        if (hasEnded) return;
        hasEnded = true;
        silence[Symbol.dispose]();
        this.held[Symbol.dispose]();
        this.resolveEnd().then(resolve, reject);
      };
      this.message.on("data", (chunk: Buffer) => {
        if (this.isClosed || this.hasSequenceFault) return;
        silence[Symbol.dispose]();
        this.handleChunk(chunk, consumer);
        silence = silenceWatches.watchSilence(clock, () => consumer.onSilence());
      });
      this.message.once("end", finish);
      this.message.once("close", finish);
      if (this.message.destroyed) finish();
    });
  }

  private handleChunk(chunk: Buffer, consumer: EventConsumer): void {
    const events = this.splitter.push(chunk);
    if (events.length > 0) {
      this.hasEvents = true;
      this.watched.recordOutput();
    }
    const areValid = events.every((event) => consumer.handleEvent(event));
    if (!areValid || this.splitter.isOverflowing) {
      this.closeAsFaulty();
      return;
    }
    this.held.resize(this.splitter.heldBytes);
    const drained = consumer.backpressure();
    if (drained === null) return;
    this.message.pause();
    void drained.then(() => this.message.resume());
  }

  /** Closes the connection of a stream that ends as truncated. */
  private closeAsFaulty(): void {
    this.hasSequenceFault = true;
    this.held[Symbol.dispose]();
    this.opening.close();
  }

  private async resolveEnd(): Promise<StreamEnd> {
    if (this.isClosed) return StreamEnd.Closed;
    const isSound =
      this.message.complete && !this.splitter.hasIncompleteEvent && !this.hasSequenceFault;
    const isUndamaged = isSound && (this.isFramed || (await this.isEndedByEngine()));
    if (isUndamaged && this.hasEvents) {
      this.watched.recordSurvival();
    } else {
      // Awaited, so that what is learned of the work counts before it is sent to another engine.
      await this.watched.recordBreak();
    }
    return isUndamaged ? StreamEnd.Complete : StreamEnd.Truncated;
  }

  /**
   * Whether an engine has ended a stream that only its connection ends. That end looks alike when the stream is
   * over, when the engine has stopped the run, and when its process has ended.
   */
  private async isEndedByEngine(): Promise<boolean> {
    if (!this.hasEvents || (await this.mayBeStopped) === true) return false;
    return !(await this.opening.isCutOff());
  }
}
