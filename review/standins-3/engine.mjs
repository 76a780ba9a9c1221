// A model engine as a process: node engine.mjs ID HOST PORT EVENTS GAP_MS [FIRST_MS]. It sends the head of a stream
// when it admits the request, and the first event after FIRST_MS of work. Without FIRST_MS its streams have neither a
// length nor chunks, and end with their channel. It keeps no copies of runs and knows no runs to move.
import * as http from "node:http";

const [id, host, port, eventsCount, gapMs, firstMs = "0"] = process.argv.slice(2);
const STEP_MS = 10;
const NOT_RUN = { "X-Not-Executed": "1" };

const server = http.createServer((request, response) => {
  request.resume();
  request.once("end", () => void answer(request, response));
});

async function answer({ headers, method, url }, response) {
  const attemptId = headers["x-attempt-id"] ?? "";
  if (method === "GET") response.writeHead(200, { "X-Instance-Id": id }).end();
  else if (url === "/kv-move") response.writeHead(404).end();
  else if ((headers["x-expect-instance"] ?? id) !== id)
    response.writeHead(421, { "X-Instance-Id": id, ...NOT_RUN }).end();
  else if (headers["kv-from"] !== undefined)
    response.writeHead(503, { "X-Attempt-Id": attemptId, ...NOT_RUN }).end();
  else await stream(attemptId, response);
}

async function stream(attemptId, response) {
  const isFramed = Number(firstMs) > 0;
  response.useChunkedEncodingByDefault = isFramed;
  process.send?.({ run: attemptId });
  response.writeHead(200, {
    ...{ "X-Attempt-Id": attemptId, "X-Engine-Signature": `${id}.${attemptId}` },
    ...{ "Content-Type": "text/event-stream" },
    ...(isFramed ? {} : { Connection: "close" }),
  });
  response.flushHeaders();
  // In steps, as a process that stands still does no work.
  for (let doneMs = 0; doneMs < Number(firstMs); doneMs += STEP_MS) await pause(STEP_MS);
  for (let event = 1; event <= Number(eventsCount); event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${attemptId}-${event}\n\n`);
    await pause(Number(gapMs));
  }
  response.end();
}

function pause(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

server.listen(Number(port), host, () => process.send?.({ listening: true }));
