import * as events from "node:events";
import type * as http from "node:http";
import type * as net from "node:net";

import tap from "tap";

import * as closeQueuedAnswers from "./index.js";

class FakeSocket extends events.EventEmitter {}

class FakeResponse extends events.EventEmitter {
  closed = false;
}

function create(): { socket: FakeSocket; response: FakeResponse; closesCount: () => number } {
  const [socket, response] = [new FakeSocket(), new FakeResponse()];
  let closesCount = 0;
  response.on("close", () => (closesCount += 1));
  closeQueuedAnswers.closeQueuedAnswer(
    socket as unknown as net.Socket,
    response as unknown as http.ServerResponse,
  );
  return { socket, response, closesCount: () => closesCount };
}

tap.test("a queued answer is closed with its connection", (t) => {
  const { socket, closesCount } = create();
  socket.emit("close");
  t.equal(closesCount(), 1);
  t.end();
});

tap.test("an answer that is closed already is not closed again", (t) => {
  const { socket, response, closesCount } = create();
  response.closed = true;
  response.emit("close");
  t.equal(socket.listenerCount("close"), 0, "nothing is kept for it");
  socket.emit("close");
  t.equal(closesCount(), 1);
  t.end();
});
