// A stand-in for the platform's metadata store: a log of topics, with the newest record of each key.
import * as http from "node:http";

const OK = 200;
const GONE = 410;
const RANGE_BYTES = 16;
const LENGTH_BYTES = 4;

export class Store {
  host = "127.0.0.1";
  #topics = new Map();
  #http = http.createServer((request, response) => void this.#handle(request, response));

  async start() {
    await new Promise((resolve) => this.#http.listen(0, this.host, resolve));
    this.port = this.#http.address().port;
    return this;
  }

  /** Writes a record as the operator or an engine does; null deletes the key. */
  put(topicName, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.#append(topicName, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]));
  }

  stop() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  #topicOf(name) {
    const known = this.#topics.get(name);
    if (known !== undefined) return known;
    const created = { records: [], newest: new Map(), waiters: new Set() };
    this.#topics.set(name, created);
    return created;
  }

  #append(topicName, content) {
    const topic = this.#topicOf(topicName);
    const offset = topic.records.push(content) - 1;
    const key = content.subarray(1, 1 + content[0]).toString();
    const value = content.subarray(1 + content[0]);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { key, value: value.toString("base64"), offset });
    for (const wake of [...topic.waiters]) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const name = url.searchParams.get("topic") ?? "";
    const topic = this.#topicOf(name);
    if (url.pathname === "/log-append") {
      const offset = topic.records.length;
      for (const content of splitRecords(Buffer.concat(chunks))) this.#append(name, content);
      sendJson(response, OK, { offset, end_offset: topic.records.length });
    } else if (url.pathname === "/log-newest") {
      const entries = [...topic.newest.values()];
      sendJson(response, OK, { entries, has_more: false, end_offset: topic.records.length });
    } else if (url.pathname === "/log-read") {
      answerRead(topic, url.searchParams, response);
    } else {
      response.writeHead(404).end();
    }
  }
}

/** Answers as soon as there is a record from the offset on, or when the waiting time is over. */
function answerRead(topic, query, response) {
  const from = Number(query.get("from"));
  const waitMs = Number(query.get("wait_ms") ?? 0);
  const finish = () => {
    clearTimeout(timer);
    topic.waiters.delete(finish);
    if (response.destroyed) return;
    if (from > topic.records.length) sendJson(response, GONE, { first_offset: 0 });
    else response.writeHead(OK).end(encodeRecords(topic.records, from));
  };
  const timer = setTimeout(finish, waitMs);
  if (from !== topic.records.length || waitMs === 0) {
    finish();
    return;
  }
  topic.waiters.add(finish);
  response.once("close", () => {
    clearTimeout(timer);
    topic.waiters.delete(finish);
  });
}

function encodeRecords(records, from) {
  const range = Buffer.alloc(RANGE_BYTES);
  range.writeBigUInt64BE(BigInt(records.length), 0);
  const parts = records.slice(from).flatMap((content) => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return [length, content];
  });
  return Buffer.concat([range, ...parts]);
}

function splitRecords(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const endAt = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, endAt));
    at = endAt;
  }
  return records;
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}
