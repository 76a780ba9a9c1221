import type * as http from "node:http";
import type * as net from "node:net";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../backendServer/index.js";

const { HEADERS } = names;
const { Framing } = backendServers;

/** Time that a copy of a run's memory takes. */
const COPY_MS = 20;

const EVENT_STREAM = { "Content-Type": "text/event-stream" } as const;

/** A run that an engine executes. */
interface Run {
  readonly server: backendServers.BackendServer;
  readonly socket: net.Socket | null;
  readonly framing: backendServers.Framing;
  producedCount: number;
  isStopped: boolean;
}

/** Counts of stopped and continued runs, for one framing of their streams. */
export interface FramingCounts {
  /** Runs that were stopped by the last copy of their memory. */
  stopped: number;
  /** Runs that went on from a copy. */
  continued: number;
}

/** Length and timing of the streams, and how engines treat their runs. */
export interface MovableScript extends Pick<backendServers.StreamScript, "eventsCount" | "gapMs"> {
  /** Whether engines work on runs whose connection is closed; by default they drop them. */
  readonly keepsClosedRuns?: boolean;
  /** Whether engines keep the backups that runs ask for; by default they keep none. */
  readonly keepsBackups?: boolean;
}

/** A time in which an engine worked on a run. */
export interface WorkSpan {
  readonly requestId: string;
  readonly serverId: string;
  readonly firstEventId: number;
  readonly fromMs: number;
  toMs: number | null;
}

/**
 * The streams of engines that transfer the memory of their runs to each other. The last copy stops a run, and its
 * connection is closed without the end of its stream, in order, as a process does that closes a socket.
 */
export class MovableStreams {
  /** By the framing of the stream that was stopped. */
  readonly counts: Readonly<Record<backendServers.Framing, FramingCounts>> = {
    [Framing.Chunked]: { stopped: 0, continued: 0 },
    [Framing.None]: { stopped: 0, continued: 0 },
  };
  /** Times in which engines worked on runs, ordered by start, on the clock of `performance.now()`. */
  readonly spans: WorkSpan[] = [];
  private readonly runs = new Map<string, Run>();
  private readonly copies = new Map<string, Run>();

  constructor(private readonly script: MovableScript) {}

  /** Creates the behaviour of an engine whose streams have the given framing, and lets it transfer memory. */
  createBehaviour(
    server: backendServers.BackendServer,
    framing: backendServers.Framing,
  ): backendServers.Behaviour {
    server.transferMemory = (call, response) => this.transfer(call, response, server);
    return (call, response, self) => this.stream(call, response, self, framing);
  }

  private async stream(
    call: backendServers.ReceivedCall,
    response: http.ServerResponse,
    server: backendServers.BackendServer,
    framing: backendServers.Framing,
  ): Promise<void> {
    const source = call.headers[HEADERS.memorySource.toLowerCase()];
    if (source !== undefined && !this.takeCopy(String(source))) {
      await backendServers.refuse()(call, response, server);
      return;
    }
    server.runs.push(call.id);
    const { socket } = response;
    const lastEventId = Number(call.headers[HEADERS.lastEventId.toLowerCase()] ?? 0);
    const run = { server, socket, framing, producedCount: lastEventId, isStopped: false };
    const runKey = runKeyOf(server, call.id);
    this.runs.set(runKey, run);
    response.useChunkedEncodingByDefault = framing === Framing.Chunked;
    const connection = framing === Framing.None ? { Connection: "close" } : {};
    const headers = { ...server.createAnswerHeaders(call), ...EVENT_STREAM, ...connection };
    response.writeHead(200, headers);
    const hasBackup = call.headers[HEADERS.backupAddress.toLowerCase()] !== undefined;
    if (hasBackup && this.script.keepsBackups === true) this.copies.set(call.id, run);
    const span: WorkSpan = {
      ...{ requestId: call.id, serverId: server.id, firstEventId: lastEventId + 1 },
      ...{ fromMs: performance.now(), toMs: null },
    };
    this.spans.push(span);
    const hasDropped = await this.work(call.id, run, response);
    span.toMs = performance.now();
    if (this.runs.get(runKey) === run) this.runs.delete(runKey);
    if (!hasDropped && !run.isStopped) response.end();
  }

  /** Produces the events of a run; returns whether the run was dropped as its connection was closed. */
  private async work(requestId: string, run: Run, response: http.ServerResponse): Promise<boolean> {
    const { eventsCount, gapMs, keepsClosedRuns = false } = this.script;
    while (run.producedCount < eventsCount && !run.isStopped) {
      if (response.destroyed && !keepsClosedRuns) return true;
      run.producedCount += 1;
      const event = `id: ${run.producedCount}\ndata: ${requestId}-${run.producedCount}\n\n`;
      if (!response.destroyed) response.write(event);
      await new Promise((resolve) => setTimeout(resolve, gapMs));
    }
    return false;
  }

  private async transfer(
    call: backendServers.ReceivedCall,
    response: http.ServerResponse,
    server: backendServers.BackendServer,
  ): Promise<void> {
    const { id, last } = JSON.parse(call.body.toString()) as { id: string; last: boolean };
    const runKey = runKeyOf(server, id);
    const run = this.runs.get(runKey);
    if (run === undefined) {
      response.writeHead(404).end();
      return;
    }
    if (last) this.stop(runKey, run);
    await new Promise((resolve) => setTimeout(resolve, COPY_MS));
    const handle = `copy-${id}`;
    this.copies.set(handle, run);
    const answer = { kv_handle: handle, created: run.producedCount };
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(answer));
  }

  private stop(runKey: string, run: Run): void {
    run.isStopped = true;
    this.runs.delete(runKey);
    this.counts[run.framing].stopped += 1;
    run.socket?.end();
  }

  /** Uses up the copy that a header names as ADDRESS/HANDLE; returns whether there is one. */
  private takeCopy(source: string): boolean {
    const handle = source.slice(source.indexOf("/") + 1);
    const copied = this.copies.get(handle);
    if (copied === undefined) return false;
    this.copies.delete(handle);
    this.counts[copied.framing].continued += 1;
    return true;
  }
}

/** Identifies a run at one engine; the same request may also run at another. */
function runKeyOf({ id }: backendServers.BackendServer, requestId: string): string {
  return `${id} ${requestId}`;
}
