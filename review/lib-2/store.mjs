// A stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"):
// a log with keyed topics, read by offset, by the newest record of each key, or with a wait.
import * as http from "node:http";

/** How long an answer takes at least, how fast records are read, and how many of them one answer holds (`max_kb`). */
const ANSWER_MS = 4;
const READ_BYTES_PER_MS = 80_000;
const DEFAULT_MAX_KB = 1_024;

/** The store, on a loopback address. */
export class Store {
  topics = new Map();
  era = 0;
  /** Whether machines get no answers, also to calls that they have sent before; engines and the operator do. */
  isSilent = false;

  constructor(record) {
    this.record = record;
    this.server = http.createServer((request, response) => this.handle(request, response));
  }

  async start(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    const { port } = this.server.address();
    this.address = `${host}:${port}`;
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created = { end: 0, first: 0, records: [], newest: new Map(), waiters: new Set() };
    this.topics.set(name, created);
    return created;
  }

  /** Writes a record of a keyed topic as the operator or an engine does; null deletes the key. */
  put(topicName, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.append(topicName, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]));
    this.record("store", `accepted ${topicName.replace("keyed.", "")}/${key}`, { value });
  }

  append(topicName, content) {
    const topic = this.topic(topicName);
    const record = { offset: topic.end, content };
    topic.end += 1;
    topic.records.push(record);
    const key = content.toString("utf8", 1, 1 + content[0]);
    if (content.length > 1 + content[0]) topic.newest.set(key, record);
    else topic.newest.delete(key);
    for (const wake of [...topic.waiters]) wake();
    return record.offset;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    if (this.isSilent) return;
    response.setHeader("Store-Era", String(this.era));
    const { searchParams: query } = url;
    const topic = this.topic(query.get("topic") ?? "");
    const handlers = {
      "/log-append": () => this.answerAppend(query, Buffer.concat(chunks), response),
      "/log-read": () => this.answerRead(topic, query, response),
      "/log-newest": () => answerNewest(topic, response),
    };
    const handler = handlers[url.pathname];
    if (handler === undefined) response.writeHead(404).end();
    else handler();
  }

  answerAppend(query, body, response) {
    const offsets = [];
    for (let at = 0; at < body.length;) {
      const size = body.readUInt32BE(at);
      offsets.push(this.append(query.get("topic"), body.subarray(at + 4, at + 4 + size)));
      at += 4 + size;
    }
    sendJson(response, { offset: offsets[0], end_offset: this.topic(query.get("topic")).end });
  }

  answerRead(topic, query, response) {
    const from = Number(query.get("from"));
    if (from < topic.first || from > topic.end) {
      response.writeHead(410, { "Content-Type": "application/json" });
      response.end(JSON.stringify({ first_offset: topic.first }));
      return;
    }
    const send = () => {
      topic.waiters.delete(send);
      clearTimeout(timer);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.end), 0);
      head.writeBigUInt64BE(BigInt(topic.first), 8);
      const parts = [head];
      const maxBytes = 1_024 * Number(query.get("max_kb") ?? DEFAULT_MAX_KB);
      let sizeBytes = 0;
      for (const { offset, content } of topic.records) {
        if (offset < from) continue;
        if (sizeBytes > 0 && sizeBytes + content.length > maxBytes) break;
        sizeBytes += content.length;
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        parts.push(length, content);
      }
      const answer = () => {
        if (this.isSilent) return;
        response.writeHead(200, { "Content-Type": "application/octet-stream" });
        response.end(Buffer.concat(parts));
      };
      setTimeout(answer, ANSWER_MS + sizeBytes / READ_BYTES_PER_MS);
    };
    const waitMs = Number(query.get("wait_ms") ?? 0);
    const timer = setTimeout(send, waitMs);
    if (from < topic.end) send();
    else topic.waiters.add(send);
  }
}

function answerNewest(topic, response) {
  const entries = [...topic.newest].map(([key, { offset, content }]) => {
    return { key, value: content.subarray(1 + content[0]).toString("base64"), offset };
  });
  sendJson(response, { entries, has_more: false, end_offset: topic.end });
}

function sendJson(response, value) {
  response.writeHead(200, { "Content-Type": "application/json" });
  response.end(JSON.stringify(value));
}
