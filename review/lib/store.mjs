// A stand-in for the platform's store: a log with topics, as PROTOCOL.md describes it. It serves every
// call soundly; it has no faults of its own.
import http from "node:http";

const READ_HEADER_BYTES = 16;

export class Store {
  #topics = new Map();
  #server = http.createServer((request, response) => void this.#handle(request, response));
  #closing = false;

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return this;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Writes the newest record of a key, as the operator or an engine does; a null value drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.isBuffer(key) ? key : Buffer.from(key);
    const valueBytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.append(topic, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]));
  }

  append(topicName, content) {
    const topic = this.#topicOf(topicName);
    const record = { offset: topic.records.length, content };
    topic.records.push(record);
    const key = content.subarray(1, 1 + content[0]).toString("latin1");
    if (content.length > 1 + content[0]) topic.newest.set(key, record);
    else topic.newest.delete(key);
    for (const wake of [...topic.waiting]) wake();
    return record.offset;
  }

  stop() {
    this.#closing = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.#closing) return;
    const url = new URL(request.url, "http://store");
    response.setHeader("Store-Era", "0");
    const topic = this.#topicOf(url.searchParams.get("topic") ?? "");
    if (url.pathname === "/log-append") this.#answerAppend(url, Buffer.concat(chunks), response);
    else if (url.pathname === "/log-read") this.#answerRead(url, topic, response);
    else if (url.pathname === "/log-newest") this.#answerNewest(topic, response);
    else response.writeHead(404).end();
  }

  #answerAppend(url, body, response) {
    const name = url.searchParams.get("topic");
    if (name === "keyed.op" || name === "keyed.servers") {
      response.writeHead(403).end();
      return;
    }
    const topic = this.#topicOf(name);
    const offset = topic.records.length;
    for (let at = 0; at + 4 <= body.length; at += 4 + body.readUInt32BE(at)) {
      this.append(name, body.subarray(at + 4, at + 4 + body.readUInt32BE(at)));
    }
    sendJson(response, 200, { offset, end_offset: topic.records.length });
  }

  #answerRead(url, topic, response) {
    const from = Number(url.searchParams.get("from"));
    if (from > topic.records.length) {
      sendJson(response, 410, { first_offset: 0 });
      return;
    }
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    const finish = () => {
      clearTimeout(timer);
      topic.waiting.delete(finish);
      if (!response.destroyed) response.writeHead(200).end(encodeRead(topic, from));
    };
    const timer = setTimeout(finish, from < topic.records.length ? 0 : waitMs);
    if (from >= topic.records.length) topic.waiting.add(finish);
    response.once("close", () => {
      clearTimeout(timer);
      topic.waiting.delete(finish);
    });
  }

  #answerNewest(topic, response) {
    const entries = [...topic.newest.values()].map(({ offset, content }) => ({
      key: content.toString("utf8", 1, 1 + content[0]),
      value: content.subarray(1 + content[0]).toString("base64"),
      offset,
    }));
    sendJson(response, 200, { entries, has_more: false, end_offset: topic.records.length });
  }

  #topicOf(name) {
    if (!this.#topics.has(name))
      this.#topics.set(name, { records: [], newest: new Map(), waiting: new Set() });
    return this.#topics.get(name);
  }
}

function encodeRead(topic, from) {
  const head = Buffer.alloc(READ_HEADER_BYTES);
  head.writeBigUInt64BE(BigInt(topic.records.length), 0);
  const parts = [head];
  for (const { content } of topic.records.slice(from)) {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    parts.push(length, content);
  }
  return Buffer.concat(parts);
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}
