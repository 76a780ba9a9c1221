import type * as http from "node:http";

import Wreck from "@hapi/wreck";
import * as eventsource from "eventsource-parser";
import * as zod from "zod";

import * as httpConnector from "../../../src/_lib/httpConnector/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import * as tokenRanges from "../tokenRanges/index.js";

const problemSchema = zod.looseObject({
  type: zod.string(),
  status: zod.number(),
  detail: zod.string(),
  execution: zod.string(),
});

const chunkSchema = zod.looseObject({
  id: zod.string(),
  choices: zod.array(
    zod.looseObject({ text: zod.string(), finish_reason: zod.string().nullable() }),
  ),
});

type Problem = zod.infer<typeof problemSchema>;

/** One request as a caller sends it. */
export interface CallerRequest {
  readonly method: string;
  readonly url: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** A request and its answer on one connection, as observed by the caller. */
export interface CallerExchange {
  readonly method: string;
  readonly path: string;
  statusCode: number | null;
  contentType: string;
  /** Body of an answer that is not streamed. */
  body: string;
  /** Why the connection failed before the answer was complete; null if it did not. */
  brokenReason: string | null;
}

/** A caller with one request, to which it can re-attach on another connection. */
export class CallerSession implements Disposable {
  readonly exchanges: CallerExchange[] = [];
  readonly tokens: tokenRanges.ReceivedToken[] = [];
  requestId: string | null = null;
  /** The VM that the last exchange went to. */
  vmName: string | null = null;
  lastHeaders: Readonly<Record<string, string>> = {};
  problem: Problem | null = null;
  finishReason: string | null = null;
  /** Whether the last exchange has ended. */
  isEnded = false;
  private readonly connector: httpConnector.HttpConnector;
  private current: AbortController | null = null;

  constructor(readonly name: string) {
    const failureCode = stepError.ErrorCode.PeerUnreachable;
    this.connector = new httpConnector.HttpConnector({ peer: name, failureCode });
  }

  get last(): CallerExchange | undefined {
    return this.exchanges.at(-1);
  }

  /** Event id of the last received token, for re-attaching. */
  get lastEventId(): string | null {
    const last = this.tokens.at(-1);
    return last === undefined ? null : `${this.requestId}:${last.offset}`;
  }

  /** Sends a request and records its answer; resolves when the exchange has ended. */
  async send(request: CallerRequest): Promise<void> {
    const exchange: CallerExchange = {
      method: request.method,
      path: request.path,
      statusCode: null,
      contentType: "",
      body: "",
      brokenReason: null,
    };
    this.exchanges.push(exchange);
    this.lastHeaders = request.headers;
    this.isEnded = false;
    this.problem = null;
    const abortController = new AbortController();
    this.current = abortController;
    const opened = await this.connector.open("caller.send", {
      ...request,
      signal: abortController.signal,
      isNewConnection: true,
    });
    if (opened.isErr()) exchange.brokenReason = opened.error.message;
    else await this.receive(opened.value, exchange);
    if (this.current === abortController) this.isEnded = true;
  }

  /** Describes the state of the last exchange for error messages. */
  describe(): string {
    const { statusCode, brokenReason } = this.last ?? {};
    const problem = this.problem === null ? "" : `, ${JSON.stringify(this.problem)}`;
    const broken = typeof brokenReason === "string" ? `, broken: ${brokenReason}` : "";
    return `status ${statusCode ?? "none"}${problem}${broken}`;
  }

  /** Closes the connection, like a caller that disconnects. */
  detach(): void {
    this.current?.abort();
  }

  [Symbol.dispose](): void {
    this.detach();
    this.connector[Symbol.dispose]();
  }

  private async receive(response: http.IncomingMessage, exchange: CallerExchange): Promise<void> {
    exchange.statusCode = response.statusCode ?? 0;
    const requestId = response.headers["x-request-id"];
    if (typeof requestId === "string") this.requestId ??= requestId;
    exchange.contentType = (response.headers["content-type"] ?? "").split(";")[0] ?? "";
    try {
      if (exchange.contentType === "text/event-stream") {
        await this.receiveEvents(response);
      } else {
        exchange.body = (await Wreck.read(response)).toString("utf8");
        this.recordBody(exchange);
      }
    } catch (error) {
      exchange.brokenReason = error instanceof Error ? error.message : "broken";
    }
  }

  private async receiveEvents(response: http.IncomingMessage): Promise<void> {
    const parser = eventsource.createParser({ onEvent: (event) => this.recordEvent(event) });
    response.setEncoding("utf8");
    for await (const chunk of response) parser.feed(chunk as string);
  }

  private recordEvent(event: eventsource.EventSourceMessage): void {
    if (event.data === "[DONE]") return;
    if (event.event === "error") {
      this.problem = problemSchema.parse(JSON.parse(event.data));
      return;
    }
    const chunk = chunkSchema.parse(JSON.parse(event.data));
    const [choice] = chunk.choices;
    this.requestId = chunk.id;
    if (event.id !== undefined && choice !== undefined) {
      const offset = Number(event.id.slice(event.id.lastIndexOf(":") + 1));
      this.tokens.push({ offset, text: choice.text });
    }
    this.finishReason = choice?.finish_reason ?? this.finishReason;
  }

  private recordBody(exchange: CallerExchange): void {
    if (exchange.contentType === "application/problem+json") {
      this.problem = problemSchema.parse(JSON.parse(exchange.body));
      return;
    }
    const parsed = chunkSchema.safeParse(parseJson(exchange.body));
    const [choice] = parsed.data?.choices ?? [];
    if (parsed.data === undefined || choice === undefined) return;
    this.requestId = parsed.data.id;
    this.finishReason = choice.finish_reason;
    this.tokens.push(...tokenRanges.splitWholeText(choice.text));
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
