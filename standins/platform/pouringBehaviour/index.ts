import type * as net from "node:net";

import * as names from "../../../platform/names/index.js";
import type * as backendServers from "../backendServer/index.js";

const { HEADERS } = names;

/** Where a faulty server writes bytes without end. */
export enum PourPlace {
  ChunkedBody = "chunked-body",
  /** A body that announces more bytes than any caller keeps. */
  LongBody = "long-body",
  /** A body that ends with the connection. */
  UnframedBody = "unframed-body",
  /** The body of an answer that says that the call has not run. */
  RefusalBody = "refusal-body",
  /** An event of a stream, without its end. */
  Event = "event",
  Head = "head",
  InformationalAnswers = "informational-answers",
  ChunkExtension = "chunk-extension",
  Trailers = "trailers",
  /** Bytes that are no answer. */
  Garbage = "garbage",
}

const BLOCK_BYTES = 65_536;

/** Fills a block with copies of a text. */
function fillBlock(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)));
}

const BODY_BLOCK = fillBlock("x");
const CHUNK = Buffer.concat([
  Buffer.from(`${BODY_BLOCK.length.toString(16)}\r\n`),
  BODY_BLOCK,
  Buffer.from("\r\n"),
]);

/** What a connection sends once, and what it then sends repeatedly. */
interface PouredBytes {
  readonly begin: (id: string) => string;
  readonly block: Buffer;
}

function headOf(status: string, fields: string): (id: string) => string {
  return (id) => `HTTP/1.1 ${status}\r\n${HEADERS.requestId}: ${id}\r\n${fields}`;
}

const CHUNKED = "Transfer-Encoding: chunked\r\n";

const BYTES_BY_PLACE: Readonly<Record<PourPlace, PouredBytes>> = {
  [PourPlace.ChunkedBody]: { begin: headOf("200 OK", `${CHUNKED}\r\n`), block: CHUNK },
  [PourPlace.LongBody]: {
    begin: headOf("200 OK", "Content-Length: 1000000000000\r\n\r\n"),
    block: BODY_BLOCK,
  },
  [PourPlace.UnframedBody]: {
    begin: headOf("200 OK", "Connection: close\r\n\r\n"),
    block: BODY_BLOCK,
  },
  [PourPlace.RefusalBody]: {
    begin: headOf("503 Unavailable", `X-Not-Executed: 1\r\n${CHUNKED}\r\n`),
    block: CHUNK,
  },
  [PourPlace.Event]: {
    begin: headOf("200 OK", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "),
    block: BODY_BLOCK,
  },
  [PourPlace.Head]: { begin: headOf("200 OK", ""), block: fillBlock("X-More: 12345678\r\n") },
  [PourPlace.InformationalAnswers]: {
    begin: () => "",
    block: fillBlock("HTTP/1.1 103 Early Hints\r\n\r\n"),
  },
  [PourPlace.ChunkExtension]: {
    begin: headOf("200 OK", `${CHUNKED}\r\n1;extension=`),
    block: BODY_BLOCK,
  },
  [PourPlace.Trailers]: {
    begin: headOf("200 OK", `${CHUNKED}\r\n2\r\nok\r\n0\r\n`),
    block: fillBlock("X-More: 12345678\r\n"),
  },
  [PourPlace.Garbage]: { begin: () => "", block: BODY_BLOCK },
};

/** Creates the behaviour of a server that writes bytes without end, until its caller closes the connection. */
export function createPouringBehaviour(place: PourPlace): backendServers.Behaviour {
  return (call, response, server) => {
    if (place !== PourPlace.RefusalBody) server.runs.push(call.id);
    const { socket } = response;
    if (socket === null) return;
    socket.on("error", () => undefined);
    const { begin, block } = BYTES_BY_PLACE[place];
    socket.write(begin(call.id));
    pour(socket, block);
  };
}

function pour(socket: net.Socket, block: Buffer): void {
  while (!socket.destroyed && socket.writable) {
    if (socket.write(block)) continue;
    socket.once("drain", () => pour(socket, block));
    return;
  }
}
