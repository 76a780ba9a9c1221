// An engine as a process of its own: node engine-program.mjs HOST PORT ID EVENTS GAP_MS. It answers requests below
// /drafts/ by a stream, and others by a body in two parts, `gapMs` x 20 apart. All answers have neither a length nor
// chunks and end with their channel. It tells what it does by lines.
import * as http from "node:http";

const [host, port, id, eventsCount, gapMs] = process.argv.slice(2);

const tell = (line) => process.stdout.write(`${JSON.stringify(line)}\n`);

const server = http.createServer(async (request, response) => {
  for await (const chunk of request) void chunk;
  const attempt = request.headers["x-attempt-id"] ?? "";
  if (request.headers["x-expect-instance"] !== id) {
    response.writeHead(421, { "X-Attempt-Id": attempt }).end();
    return;
  }
  if (request.headers["kv-from"] !== undefined) {
    // No memory of that run is here.
    response.writeHead(503, { "X-Attempt-Id": attempt, "X-Not-Executed": "1" }).end();
    return;
  }
  tell({ what: "runs", attempt });
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  const isStream = request.url.startsWith("/drafts/");
  response.writeHead(200, {
    "X-Attempt-Id": attempt,
    "X-Engine-Signature": `${id}.${attempt}`,
    "Content-Type": isStream ? "text/event-stream" : "application/octet-stream",
  });
  const parts = isStream
    ? Array.from({ length: Number(eventsCount) }, (_, at) => `id: ${at + 1}\ndata: ${attempt}\n\n`)
    : ["first half, ", "second half"];
  for (const part of parts) {
    if (response.destroyed) return;
    response.write(part);
    await new Promise((resolve) => setTimeout(resolve, Number(gapMs) * (isStream ? 1 : 20)));
  }
  if (!response.destroyed) tell({ what: "has written the whole answer", attempt });
  response.end();
});
server.listen(Number(port), host, () => tell({ what: "listens", port: server.address().port }));
