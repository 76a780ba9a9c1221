import tap from "tap";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";

const PROMPT = "the walker's private words";

tap.test("traces, reports and descriptions contain neither keys nor prompts", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(setup);
  const { admin, daemon } = setup;
  const response = await fetch(`${daemon.callerUrl}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${localDaemons.ACCOUNT_KEY}` },
    body: JSON.stringify({ model: "draft", prompt: `${PROMPT} #tokens=20`, stream: true }),
  });
  await response.text();
  const requestId = response.headers.get("x-request-id") ?? "";
  const shown = JSON.stringify([
    await admin.explainRequest(requestId),
    await admin.explainEngine("engine-1"),
    await admin.gatherBurn(),
    await admin.listBackends(),
    await admin.listQueue(),
    await admin.listNodes(),
    await admin.describeVm(),
    await admin.listItems(),
  ]);
  t.match(shown, "engine.started", "the answers contain the trace");
  for (const secret of [localDaemons.ACCOUNT_KEY, localDaemons.OPERATOR_KEY, PROMPT]) {
    t.notMatch(shown, secret);
  }
  // The fleet key begins with this text.
  t.notMatch(shown, "a key that all virtual machines");
});
