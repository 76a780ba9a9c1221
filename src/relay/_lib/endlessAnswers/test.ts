import * as net from "node:net";

import tap, { type Test } from "tap";

import * as collectBodies from "../collectBody/index.js";
import * as eventSplitters from "../eventSplitter/index.js";
import * as fixtures from "../fixtures/index.js";
import * as openAttempts from "../openAttempt/index.js";

const MAX_BODY_BYTES = 64 * 1024;

const CHUNK_BYTES = 16 * 1024;

/** More than any bound on what is read, and far less than a VM's memory. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

interface EndlessServer {
  readonly port: number;
  /** Resolves with the number of sent bytes when the caller closes or the limit is reached. */
  readonly sentBytes: Promise<number>;
}

/** Starts a server that sends a head and then the same bytes again and again. */
async function startServer(t: Test, head: string, repeated: string): Promise<EndlessServer> {
  const server = net.createServer();
  const sentBytes = new Promise<number>((resolve) => {
    server.once("connection", (socket) => {
      socket.on("error", () => undefined);
      socket.once("close", () => resolve(socket.bytesWritten));
      socket.write(head);
      const send = (): void => {
        while (!socket.destroyed && socket.bytesWritten < MAX_SENT_BYTES) {
          if (!socket.write(repeated)) break;
        }
        if (socket.bytesWritten >= MAX_SENT_BYTES) socket.destroy();
        else socket.once("drain", send);
      };
      socket.once("data", send);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return { port: (server.address() as net.AddressInfo).port, sentBytes };
}

function open(port: number): Promise<openAttempts.Opening> {
  return openAttempts.openAttempt({
    connector: fixtures.createConnector(),
    server: { ...fixtures.createServerEntry("s1", port), host: "127.0.0.1" },
    requestId: "r1",
    method: "GET",
    target: "/",
    headers: () => ["Host", "a.example"],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
  });
}

const ENDLESS_HEADS = {
  "bytes that are no answer": ["", "x".repeat(CHUNK_BYTES)],
  "a header line": ["HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(CHUNK_BYTES)],
  "header lines": ["HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n".repeat(100)],
  "informational answers": ["", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100)],
} as const;

for (const [name, [head, repeated]] of Object.entries(ENDLESS_HEADS)) {
  tap.test(`an attempt ends at an answer that begins with endless ${name}`, async (t) => {
    const server = await startServer(t, head, repeated);
    const opening = await open(server.port);
    t.equal(opening.kind, openAttempts.OpeningKind.Lost);
    t.ok((await server.sentBytes) < MAX_SENT_BYTES);
  });
}

const ENDLESS_BODIES = {
  "without a length": ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x".repeat(CHUNK_BYTES)],
  "in chunks": [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    `${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`,
  ],
  "of chunk extensions": [
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    "x".repeat(CHUNK_BYTES),
  ],
} as const;

for (const [name, [head, repeated]] of Object.entries(ENDLESS_BODIES)) {
  tap.test(`an endless body ${name} is read up to a bound`, async (t) => {
    const server = await startServer(t, head, repeated);
    const opening = await open(server.port);
    if (opening.kind !== openAttempts.OpeningKind.Answered) {
      t.equal(opening.kind, openAttempts.OpeningKind.Lost);
    } else {
      const collected = await collectBodies.collectBody(opening.message, MAX_BODY_BYTES);
      t.not(collected.end, collectBodies.BodyEnd.Complete);
      t.ok(collected.body.length <= MAX_BODY_BYTES);
      opening.close();
    }
    t.ok((await server.sentBytes) < MAX_SENT_BYTES);
  });
}

tap.test("an event without an end is not buffered beyond a bound", (t) => {
  const splitter = new eventSplitters.EventSplitter();
  for (let sizeBytes = 0; sizeBytes < MAX_SENT_BYTES; sizeBytes += CHUNK_BYTES) {
    splitter.push(Buffer.alloc(CHUNK_BYTES, "x"));
    if (splitter.isOverflowing) break;
  }
  t.ok(splitter.isOverflowing);
  t.same(splitter.push(Buffer.from("\n\nid: 1\n\n")), [], "nothing is read after it");
  t.end();
});
