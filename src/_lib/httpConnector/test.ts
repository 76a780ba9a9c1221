import * as net from "node:net";

import tap, { type Test } from "tap";

import * as clocks from "../clock/index.js";
import * as stepError from "../stepError/index.js";
import * as httpEngineClients from "../../backends/httpEngineClient/index.js";
import * as httpServiceClients from "../../backends/httpServiceClient/index.js";
import * as httpConnectors from "./index.js";

const { ExecutionState } = stepError;

/** Serves raw bytes as the answer to each request, and returns the server's address. */
async function serveRaw(t: Test, answer: string): Promise<string> {
  const server = net.createServer((socket) => {
    socket.once("data", () => socket.end(Buffer.from(answer, "latin1")));
    socket.on("error", () => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => void server.close());
  const { port } = server.address() as net.AddressInfo;
  return `http://127.0.0.1:${String(port)}`;
}

function createAnswer(status: string, headers = ""): string {
  return `HTTP/1.1 ${status} Odd\r\n${headers}Content-Length: 2\r\n\r\n{}`;
}

const FILING = {
  method: "POST",
  path: "/permits",
  headers: {},
  body: Buffer.from("{}"),
  timeoutMs: 2_000,
};

const ODD_STATUSES = ["000", "001", "099", "600", "999", "0200", "-01", "20", "2x0"];

// Guards against callers that get a spoiled status as their answer, or an internal error, and against work that counts
// as not run though a server has read it.
tap.test(
  "an answer with a status of no final answer is none, and the call may have run",
  async (t) => {
    for (const status of ODD_STATUSES) {
      const url = await serveRaw(t, createAnswer(status));
      using service = new httpServiceClients.HttpServiceClient("s", url);
      const called = await service.call(FILING);
      t.equal(called.isErr() && called.error.execution, ExecutionState.Unknown, `call, ${status}`);
      using engine = new httpEngineClients.HttpEngineClient("e", url, new clocks.SystemClock());
      const cancelled = await engine.cancel("r", 1);
      const { Unknown } = ExecutionState;
      t.equal(cancelled.isErr() && cancelled.error.execution, Unknown, `order, ${status}`);
      using connector = new httpConnectors.HttpConnector({
        peer: "e",
        failureCode: stepError.ErrorCode.BackendFailed,
      });
      const opened = await connector.open("engine.start", { method: "POST", url });
      t.equal(opened.isErr() && opened.error.execution, Unknown, `stream, ${status}`);
    }
  },
);

tap.test("an answer whose body is not the server's own is none", async (t) => {
  const url = await serveRaw(t, createAnswer("200", "Content-Encoding: gzip\r\n"));
  using service = new httpServiceClients.HttpServiceClient("s", url);
  t.match((await service.call(FILING))._unsafeUnwrapErr().message, "content encoding");
});

tap.test("answers with all other statuses reach the caller", async (t) => {
  for (const status of ["200", "201", "404", "429", "503", "599"]) {
    const url = await serveRaw(t, createAnswer(status, "Content-Encoding: identity\r\n"));
    using service = new httpServiceClients.HttpServiceClient("s", url);
    t.equal((await service.call(FILING))._unsafeUnwrap().statusCode, Number(status));
  }
});
