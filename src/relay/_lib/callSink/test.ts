import * as http from "node:http";
import type * as net from "node:net";

import tap from "tap";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as routing from "../../../routing/index.js";
import type * as types from "../../types.js";
import * as collectBodies from "../collectBody/index.js";
import * as forwardableAnswers from "../forwardableAnswer/index.js";
import * as heldBodies from "../heldBody/index.js";
import * as callSinks from "./index.js";

const CODEC = {
  encodeRefusal: () => ["X-Refused", "1"],
} as unknown as types.WireCodec;

const CALL = { route: { kind: routing.RouteKind.OnceOnly } } as types.Call;

const CONTEXT = {
  bytes: new byteBudgets.ByteBudget(1_000),
  clock: new virtualClocks.VirtualClock(),
  log: diagnostics.NOOP_DECISION_LOG,
};

// Guards against the head of an answer whose body is gone, behind which the next answer would be read as the body.
tap.test("an answer whose body was given up is not sent as if it were complete", async (t) => {
  const server = http.createServer((_request, response) => {
    const sink = new callSinks.CallSink(
      response,
      CODEC,
      "r1",
      () => 0,
      () => false,
      CONTEXT,
    );
    const body = new heldBodies.HeldBody(
      collectBodies.BodyEnd.Complete,
      [Buffer.from("failure")],
      null,
    );
    const head = {
      status: 500,
      forwardedHeaders: ["X-Engine", "e1"],
    } as unknown as types.AnswerHead;
    const answer = forwardableAnswers.ForwardableAnswer.from(CALL, { head, body });
    body.evict();
    if (answer !== null) sink.answer(answer);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const answer = await fetch(`http://127.0.0.1:${port}/`);
  t.equal(answer.status, 502);
  t.equal(answer.headers.get("content-length"), "0");
  t.equal(answer.headers.get("x-engine"), null);
  t.equal(await answer.text(), "");
});
