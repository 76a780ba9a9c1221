import * as http from "node:http";
import * as net from "node:net";

import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

// Failures that operators of similar systems have had, each brought about through real sockets.

const { ENGINE_SERVICE, HOST, API_KEY, PLAIN_SERVICE } = gatewayFleets;

interface Fleet {
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
}

/** Starts a gateway and two servers of a service. */
async function startFleet(
  t: Test,
  serviceName: string,
  behaviour: backendServers.Behaviour,
): Promise<Fleet> {
  const fleet = await testFleets.startReadyFleet(t);
  const servers = [
    await fleet.addServer("s1", serviceName, behaviour),
    await fleet.addServer("s2", serviceName, behaviour),
  ];
  await testFleets.waitUntilServersKnown(fleet, servers.length);
  return { fleet, servers };
}

/** Calls of one caller on one kept connection, one after another. */
async function callOnOneConnection(
  { fleet }: Fleet,
  ids: readonly string[],
): Promise<readonly string[]> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const bodies: string[] = [];
  for (const id of ids) {
    const headers = { Host: HOST, "X-Attempt-Id": id, "X-Key": API_KEY, "X-Deadline-Ms": "5000" };
    const options = { port: fleet.callersPort(), path: "/lookup/", headers, agent };
    bodies.push(
      await new Promise((resolve, reject) => {
        const outgoing = http.get(options, (answer) => {
          let body = "";
          answer.on("data", (chunk: Buffer) => (body += chunk.toString()));
          answer.on("end", () => resolve(body));
        });
        outgoing.on("error", reject);
      }),
    );
  }
  agent.destroy();
  return bodies;
}

tap.test("a second copy of an answer reaches no caller, also when it comes late", async (t) => {
  const answer: backendServers.Behaviour = (call, response, server) => {
    server.runs.push(call.id);
    const body = `answer to ${call.id}`;
    const { socket } = response;
    backendServers.sendAnswer(body, call, response, server);
    const headers = Object.entries(server.createAnswerHeaders(call));
    const lines = headers.map(([name, value]) => `${name}: ${String(value)}`).join("\r\n");
    const copy = `HTTP/1.1 200 OK\r\n${lines}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    for (const delayMs of [0, 5, 30]) setTimeout(() => socket?.write(copy), delayMs);
    socket?.on("error", () => undefined);
  };
  const fleet = await startFleet(t, PLAIN_SERVICE, answer);
  const ids = Array.from({ length: 10 }, (_, index) => `call-${index}`);
  const bodies = await callOnOneConnection(fleet, ids);
  t.same(
    bodies,
    ids.map((id) => `answer to ${id}`),
  );
});

tap.test("a planned stop under load answers every call that it has accepted", async (t) => {
  const slow = backendServers.answerLater("done", 60);
  const { fleet, servers } = await startFleet(t, PLAIN_SERVICE, slow);
  const outcomes = { answered: 0, refused: 0 };
  const cutIds: string[] = [];
  let isOver = false;
  const callRepeatedly = async (caller: number): Promise<void> => {
    for (let index = 0; !isOver; index += 1) {
      const id = `${caller}-${index}`;
      const answer = await fleet.call({ path: "/lookup/", id }).catch((error: unknown) => error);
      if (answer instanceof Error) {
        cutIds.push(id);
        if (answer.message.includes("ECONNREFUSED")) return;
        continue;
      }
      const { status, isComplete } = answer as gatewayFleets.CallerAnswer;
      if (!isComplete) cutIds.push(id);
      else if (status === 200) outcomes.answered += 1;
      else outcomes.refused += 1;
    }
  };
  const callers = Array.from({ length: 12 }, (_, caller) => callRepeatedly(caller));
  await testFleets.waitUntil(() => outcomes.answered >= 24);
  await fleet.gateways[0]?.stop();
  isOver = true;
  await Promise.all(callers);
  // A connection that is closed before its request was read tells the caller that nothing has run.
  const readIds = new Set([
    ...servers.flatMap(({ calls }) => calls.map(({ id }) => id)),
    ...fleet.log.lines.map(({ fields }) => fields.requestId),
  ]);
  t.same(
    cutIds.filter((id) => readIds.has(id)),
    [],
  );
  t.ok(outcomes.answered >= 24);
});

tap.test("a slow stream is not cut, and one that only dribbles ends at its deadline", async (t) => {
  const dribble: backendServers.Behaviour = async (call, response, server) => {
    server.runs.push(call.id);
    const type = { "Content-Type": "text/event-stream" };
    response.writeHead(200, { ...server.createAnswerHeaders(call), ...type });
    response.write(`id: 1\ndata: x\n\n`);
    while (!response.destroyed) {
      response.write(":\n");
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  };
  const slow = backendServers.stream({ eventsCount: 4, gapMs: 700 });
  const { fleet, servers } = await startFleet(t, ENGINE_SERVICE, slow);
  const sound = await testFleets.requestDraft(fleet, "slow");
  t.ok(sound.isComplete);
  t.same(testFleets.parseEventIds(sound.body), [1, 2, 3, 4]);
  for (const server of servers) server.setBehaviour(dribble);
  const request = { ...testFleets.DRAFT_REQUEST, path: "/draft/", id: "stalled" };
  const stalled = await fleet.call({ ...request, timeLeftMs: 1_500 });
  t.notOk(stalled.isComplete, "it ends, and does not look complete");
});

tap.test("work whose answer was lost is not run again, nor said not to have run", async (t) => {
  const { fleet, servers } = await startFleet(
    t,
    PLAIN_SERVICE,
    backendServers.resetWithoutAnswer(),
  );
  for (let index = 0; index < 5; index += 1) {
    const request = { path: "/file/", method: "POST", body: "x", id: `filing-${index}` };
    const { status } = await fleet.call(request);
    t.equal(status, 502, "which promises nothing");
  }
  const runs = servers.flatMap((server) => server.runs);
  t.equal(runs.length, 5);
});

tap.test("an answer that breaks off halfway never looks complete", async (t) => {
  const { fleet, servers } = await startFleet(
    t,
    PLAIN_SERVICE,
    backendServers.resetMidAnswer("half of it"),
  );
  const file = { path: "/file/", method: "POST", body: "x" };
  t.equal((await fleet.call({ ...file, id: "without-length" })).status, 502);
  const shortened: backendServers.Behaviour = (call, response, server) => {
    server.runs.push(call.id);
    response.writeHead(200, { ...server.createAnswerHeaders(call), "Content-Length": 100 });
    response.write("half of it", () => response.socket?.destroy());
  };
  for (const server of servers) server.setBehaviour(shortened);
  t.equal((await fleet.call({ ...file, id: "with-length" })).status, 502);
});

tap.test("the runs of a VM that is silent for a while go on and are not run again", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 2);
  const stream = backendServers.stream({ eventsCount: 30, gapMs: 60 });
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, stream);
  await testFleets.waitUntilServersKnown(fleet, 2);
  const pending = testFleets.requestDraft(fleet, "run");
  await testFleets.waitUntil(() => engine.runs.includes("run"));
  fleet.silencePeers(0);
  const { PeerDown } = diagnostics.LogEvent;
  await testFleets.waitUntil(() => fleet.log.lines.some(({ event }) => event === PeerDown));
  const answer = await pending;
  t.ok(answer.isComplete);
  t.equal(testFleets.parseEventIds(answer.body).length, 30);
  t.same(
    engine.runs.filter((id) => id === "run"),
    ["run"],
  );
});

tap.test("lookups at a VM towards which all servers are silent go another way", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 2);
  const answer = backendServers.answerCompletely("done");
  await fleet.addServer("s1", PLAIN_SERVICE, answer);
  await fleet.addServer("s2", PLAIN_SERVICE, answer);
  await testFleets.waitUntilServersKnown(fleet, 4);
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  fleet.network.mute("vm-1");
  let servedCount = 0;
  for (let index = 0; index < 10; index += 1) {
    const request = { path: "/lookup/", id: `mute-${index}`, timeLeftMs: 3_000 };
    const { status } = await fleet.call(request);
    if (status === 200) servedCount += 1;
  }
  t.equal(servedCount, 10);
  const other = await fleet.call({ path: "/lookup/", id: "elsewhere" }, 1);
  t.equal(other.status, 200, "the other VM is served");
});

tap.test("bytes that follow an answer's end do not begin the next one", async (t) => {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", (request) => {
      const id = /x-attempt-id: (\S+)/i.exec(request.toString())?.[1] ?? "";
      const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Engine-Signature: s\r\n`;
      socket.write(`${head}Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nstray`);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const fleet = await testFleets.startReadyFleet(t);
  fleet.registerAddress("raw", PLAIN_SERVICE, (server.address() as net.AddressInfo).port);
  await testFleets.waitUntilServersKnown(fleet, 1);
  const bodies = await callOnOneConnection({ fleet, servers: [] }, ["a", "b", "c"]);
  t.same(bodies, ["ok", "ok", "ok"]);
});
