import * as http from "node:http";

import * as hapi from "@hapi/hapi";
import * as fc from "fast-check";
import tap from "tap";

import * as spoiled from "../../../standins/spoiledValues/index.js";
import * as tunnelRequests from "../_lib/tunnelRequest/index.js";
import * as peerStatements from "../peerStatements/index.js";

const STATEMENT = { serverId: "s1", bornAtWallMs: 5, isLeaving: false, retryAfterMs: 40 };

const TUNNEL_HEADERS = [
  "x-vm-name",
  "x-server-id",
  "x-server-born",
  "x-request-id",
  "x-reaching-vm",
];

const targets = fc.oneof(
  fc.constantFrom("10.0.0.1:80", "10.0.0.1:0", "10.0.0.1:99999", "[::1]:80", ":80", "a b:80", "/x"),
  spoiled.headerValue,
);

/** Heads of CONNECT requests and refusals, as they come out of Node's parser. */
const heads = fc.record({
  url: targets,
  headers: fc
    .array(spoiled.headerValue, { minLength: TUNNEL_HEADERS.length })
    .map((values) => Object.fromEntries(TUNNEL_HEADERS.map((name, at) => [name, values[at]]))),
});

tap.test("a tunnel request that is let through can be sent on", async () => {
  const verify = (head: Pick<http.IncomingMessage, "url" | "headers">): void => {
    tunnelRequests.decodeReferral(head);
    const decoded = tunnelRequests.decodeTunnelRequest(head);
    if (decoded.isErr()) return;
    const { vmName, server, requestId } = decoded.value;
    spoiled.assertUsable(decoded.value);
    const headers = tunnelRequests.encodeHeaders(vmName, { server, requestId });
    for (const [name, value] of Object.entries(headers))
      http.validateHeaderValue(name, String(value));
  };
  await spoiled.check(heads, verify, { seed: 81, runsCount: 3_000 });
});

tap.test("what a peer says of a server is used or refused, and can be told again", async () => {
  const server = hapi.server();
  const received: peerStatements.PeerStatement[] = [];
  const peers = [{ vmName: "vm-2", host: "127.0.0.1", port: 1 }];
  peerStatements.addStatementRoute(
    server,
    () => peers as never,
    (statement) => {
      received.push(statement);
    },
  );
  const verify = async (payload: Buffer): Promise<void> => {
    received.length = 0;
    const headers = { "content-type": "application/json" };
    const options = { method: "POST", url: "/server-statements", payload, headers };
    const { statusCode } = await server.inject({ ...options, remoteAddress: "127.0.0.1" });
    if (statusCode >= 500) throw new Error(`status ${statusCode}`);
    spoiled.assertUsable(received);
    spoiled.assertSame(JSON.parse(JSON.stringify(received)), received);
  };
  await spoiled.check(spoiled.spoilText(STATEMENT), verify, { seed: 82, runsCount: 400 });
});
