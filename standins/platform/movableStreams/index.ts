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

/** Length and timing of the streams. */
export type MovableScript = Pick<backendServers.StreamScript, "eventsCount" | "gapMs">;

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
  private readonly runs = new Map<string, Run>();
  private readonly copies = new Map<string, Run>();

  constructor(private readonly script: MovableScript) {}

  /** Creates the behaviour of an engine whose streams have the given framing, and lets it transfer memory. */
  createBehaviour(
    server: backendServers.BackendServer,
    framing: backendServers.Framing,
  ): backendServers.Behaviour {
    server.transferMemory = (call, response) => this.transfer(call, response);
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
    this.runs.set(call.id, run);
    response.useChunkedEncodingByDefault = framing === Framing.Chunked;
    const connection = framing === Framing.None ? { Connection: "close" } : {};
    const headers = { ...server.createAnswerHeaders(call), ...EVENT_STREAM, ...connection };
    response.writeHead(200, headers);
    while (run.producedCount < this.script.eventsCount) {
      if (response.destroyed || run.isStopped) return;
      run.producedCount += 1;
      response.write(`id: ${run.producedCount}\ndata: ${call.id}-${run.producedCount}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, this.script.gapMs));
    }
    if (run.isStopped) return;
    if (this.runs.get(call.id) === run) this.runs.delete(call.id);
    response.end();
  }

  private async transfer(
    call: backendServers.ReceivedCall,
    response: http.ServerResponse,
  ): Promise<void> {
    const { id, last } = JSON.parse(call.body.toString()) as { id: string; last: boolean };
    const run = this.runs.get(id);
    if (run === undefined) {
      response.writeHead(404).end();
      return;
    }
    if (last) this.stop(id, run);
    await new Promise((resolve) => setTimeout(resolve, COPY_MS));
    this.copies.set(id, run);
    const answer = { kv_handle: id, created: run.producedCount };
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(answer));
  }

  private stop(id: string, run: Run): void {
    run.isStopped = true;
    this.runs.delete(id);
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
