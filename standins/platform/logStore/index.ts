import * as http from "node:http";
import type * as net from "node:net";

import * as names from "../../../platform/names/index.js";
import * as readAnswers from "../encodeReadAnswer/index.js";
import * as recordSplitters from "../../_lib/splitRecords/index.js";

/** How the store answers requests. */
export enum StoreMode {
  /** Every request is executed and answered. */
  Serves = "serves",
  /** Every request is answered with 503. */
  Refuses = "refuses",
  /** Requests are accepted and never answered. */
  Silent = "silent",
  /** Appends take effect, but are never answered. */
  LosesAnswers = "loses-answers",
}

interface LogRecord {
  readonly offset: number;
  /** Length of the key in one byte, the key, and the value. */
  readonly content: Uint8Array;
}

interface TopicLog {
  records: LogRecord[];
  /** Offset of the next record. */
  end: number;
  newest: Map<string, LogRecord>;
  readonly waiters: Set<() => void>;
}

/** The store's contents at one moment, to which it can be restored. */
export type StoreCopy = ReadonlyMap<string, TopicContents>;

type TopicContents = Omit<TopicLog, "waiters">;

interface LostRecord {
  readonly topicName: string;
  readonly content: Uint8Array;
}

/** A restore of the store, and what it has removed. */
export interface Restore {
  readonly lost: readonly LostRecord[];
  /** Topic and key of each record that was written since. */
  readonly writtenKeys: Set<string>;
}

const OK = 200;
const GONE = 410;
const UNAVAILABLE = 503;

/** An in-memory stand-in for the platform's store: an append-only log per topic, with the newest record of each key. */
export class PlatformLogStore implements AsyncDisposable {
  private readonly topics = new Map<string, TopicLog>();
  private readonly server = http.createServer((request, response) => {
    void this.handle(request, response);
  });
  private mode = StoreMode.Serves;
  /** How often the store has been restored. */
  private era = 0;
  /** Restores whose lost records have not been written again. */
  private readonly restores = new Set<Restore>();

  /** Number of received requests by path; tests check it against bounds. */
  readonly callCounts = new Map<string, number>();

  /** The port on which the store listens. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Listens on a free loopback port. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
  }

  /** Sets how all subsequent requests are answered. */
  setMode(mode: StoreMode): void {
    this.mode = mode;
  }

  /** Appends a record as an operator or a server does, and returns its offset; a null value deletes the key. */
  put(topic: string, key: string | Buffer, value: unknown): number {
    const valueBytes =
      value === null
        ? Buffer.alloc(0)
        : Buffer.isBuffer(value)
          ? value
          : Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
    const keyBytes = typeof key === "string" ? Buffer.from(key) : key;
    return this.append(
      topic,
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]),
    );
  }

  /** Drops the records of a topic; the newest record of each key remains readable. */
  compact(topic: string): void {
    this.topicOf(topic).records = [];
  }

  /** Copies the contents of all topics. */
  copy(): StoreCopy {
    return new Map([...this.topics].map(([name, topic]) => [name, copyContents(topic)]));
  }

  /**
   * Replaces the contents by a copy, so that offsets are given out again. Reads that wait for a
   * record keep waiting, at offsets that may no longer exist.
   *
   * @returns what was appended since the copy was made and is no longer in the store
   */
  restore(copy: StoreCopy): Restore {
    const lost = [...this.topics].flatMap(([topicName, { records }]) => {
      const end = copy.get(topicName)?.end ?? 0;
      return records
        .filter(({ offset }) => offset >= end)
        .map(({ content }) => ({ topicName, content }));
    });
    for (const [name, topic] of this.topics) {
      Object.assign(topic, copyContents(copy.get(name) ?? EMPTY_CONTENTS));
    }
    this.era += 1;
    const restore = { lost, writtenKeys: new Set<string>() };
    this.restores.add(restore);
    return restore;
  }

  /** Appends lost records again, as their writers do, except those that were superseded since. */
  rewrite(restore: Restore): void {
    this.restores.delete(restore);
    for (const { topicName, content } of restore.lost) {
      if (!restore.writtenKeys.has(writtenKey(topicName, content))) this.append(topicName, content);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    this.callCounts.set(url.pathname, (this.callCounts.get(url.pathname) ?? 0) + 1);
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.mode === StoreMode.Silent) return;
    response.setHeader(names.HEADERS.storeEra, String(this.era));
    if (this.mode === StoreMode.Refuses) {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const handler = HANDLERS[url.pathname];
    if (handler === undefined) response.writeHead(404).end();
    else handler(this, url.searchParams, Buffer.concat(chunks), response);
  }

  /** Executes an append, whose body is one record with a length prefix, and answers with its offset. */
  answerAppend(query: URLSearchParams, body: Buffer, response: http.ServerResponse): void {
    const topic = query.get("topic") ?? "";
    const offsets = recordSplitters
      .splitRecords(body)
      .map((content) => this.append(topic, content));
    // When answers are lost, the connection stays open without a response.
    if (this.mode !== StoreMode.LosesAnswers)
      sendJson(response, { offset: offsets[0], end_offset: this.topicOf(topic).end });
  }

  /**
   * Answers a read once there is a record from its offset on or `wait_ms` has passed; 410 if the
   * store does not have the offset.
   */
  answerRead(query: URLSearchParams, response: http.ServerResponse): void {
    const topic = this.topicOf(query.get("topic") ?? "");
    const from = Number(query.get("from"));
    if (!isReadable(topic, from)) {
      sendGone(response, topic);
      return;
    }
    const waitMs = Number(query.get("wait_ms") ?? 0);
    if (from < topic.end || waitMs === 0) {
      sendRecords(response, topic, from);
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      topic.waiters.delete(finish);
      if (response.destroyed) return;
      response.setHeader(names.HEADERS.storeEra, String(this.era));
      if (isReadable(topic, from)) sendRecords(response, topic, from);
      else sendGone(response, topic);
    };
    const timer = setTimeout(finish, waitMs);
    topic.waiters.add(finish);
    response.once("close", () => {
      clearTimeout(timer);
      topic.waiters.delete(finish);
    });
  }

  /** Answers with the newest record of each key. */
  answerNewest(query: URLSearchParams, response: http.ServerResponse): void {
    const topic = this.topicOf(query.get("topic") ?? "");
    const entries = [...topic.newest].map(([key, { offset, content }]) => {
      const value = Buffer.from(content.subarray(1 + (content[0] ?? 0))).toString("base64");
      return { key, value, offset };
    });
    sendJson(response, { entries, has_more: false, end_offset: topic.end });
  }

  private append(topicName: string, content: Uint8Array): number {
    const topic = this.topicOf(topicName);
    const record = { offset: topic.end, content };
    topic.records.push(record);
    topic.end += 1;
    for (const { writtenKeys } of this.restores) writtenKeys.add(writtenKey(topicName, content));
    const keyLength = content[0] ?? 0;
    const key = keyOf(content);
    if (content.length > 1 + keyLength) topic.newest.set(key, record);
    else topic.newest.delete(key);
    for (const wake of [...topic.waiters]) wake();
    return record.offset;
  }

  private topicOf(name: string): TopicLog {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created = { records: [], end: 0, newest: new Map(), waiters: new Set<() => void>() };
    this.topics.set(name, created);
    return created;
  }
}

type Handler = (
  store: PlatformLogStore,
  query: URLSearchParams,
  body: Buffer,
  response: http.ServerResponse,
) => void;

const HANDLERS: Readonly<Partial<Record<string, Handler>>> = {
  "/log-append": (store, query, body, response) => store.answerAppend(query, body, response),
  "/log-read": (store, query, _body, response) => store.answerRead(query, response),
  "/log-newest": (store, query, _body, response) => store.answerNewest(query, response),
};

function sendJson(response: http.ServerResponse, value: unknown): void {
  response.writeHead(OK, { "content-type": "application/json" }).end(JSON.stringify(value));
}

function keyOf(content: Uint8Array): string {
  return Buffer.from(content).toString("utf8", 1, 1 + (content[0] ?? 0));
}

function writtenKey(topicName: string, content: Uint8Array): string {
  return `${topicName}/${keyOf(content)}`;
}

function firstOffsetOf(topic: TopicLog): number {
  return topic.records[0]?.offset ?? topic.end;
}

/** Whether records can be read from an offset, which may be the end. */
function isReadable(topic: TopicLog, from: number): boolean {
  return from >= firstOffsetOf(topic) && from <= topic.end;
}

function sendGone(response: http.ServerResponse, topic: TopicLog): void {
  response.writeHead(GONE, { "content-type": "application/json" });
  response.end(JSON.stringify({ first_offset: firstOffsetOf(topic) }));
}

const EMPTY_CONTENTS: TopicContents = { records: [], end: 0, newest: new Map() };

function copyContents({ records, end, newest }: TopicContents): TopicContents {
  return { records: [...records], end, newest: new Map(newest) };
}

function sendRecords(response: http.ServerResponse, topic: TopicLog, from: number): void {
  const range = { endOffset: topic.end, firstOffset: firstOffsetOf(topic) };
  const following = topic.records.filter(({ offset }) => offset >= from);
  const contents = following.map(({ content }) => content);
  response.writeHead(OK).end(readAnswers.encodeReadAnswer(range, contents));
}
