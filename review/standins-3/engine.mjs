// A model engine as a process: node engine.mjs ID HOST PORT EVENTS GAP_MS. Its streams have neither a length nor
// chunks, and end with their channel. It keeps no copies of runs and knows no runs to move.
import * as http from "node:http";

const [id, host, port, eventsCount, gapMs] = process.argv.slice(2);
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
  response.useChunkedEncodingByDefault = false;
  process.send?.({ run: attemptId });
  response.writeHead(200, {
    ...{ "X-Attempt-Id": attemptId, "X-Engine-Signature": `${id}.${attemptId}` },
    ...{ "Content-Type": "text/event-stream", Connection: "close" },
  });
  for (let event = 1; event <= Number(eventsCount); event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${attemptId}-${event}\n\n`);
    await new Promise((resolve) => setTimeout(resolve, Number(gapMs)));
  }
  response.end();
}

server.listen(Number(port), host, () => process.send?.({ listening: true }));
