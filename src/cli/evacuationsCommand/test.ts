import tap, { type Test } from "tap";

import * as names from "../../../platform/names/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as program from "../createProgram/index.js";

async function run(...args: string[]): Promise<{ code: constants.ExitCode; text: string }> {
  let text = "";
  const code = await program.runProgram(args, {
    clock: new clocks.SystemClock(),
    environment: {},
    writeOut: (part) => (text += part),
    writeErr: (part) => (text += part),
    createClient: () => Promise.reject(new Error("no admin port")),
  });
  return { code, text };
}

async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = new gatewayFleets.GatewayFleet();
  t.teardown(() => fleet[Symbol.asyncDispose]());
  await fleet.start();
  return fleet;
}

tap.test("the evacuated data centres are listed as text and as JSON", async (t) => {
  const fleet = await startFleet(t);
  fleet.configure();
  await fleet.addGateway();
  const question = ["evacuations", "--gateway", fleet.operatorsAddress()];
  while (!(await fleet.isReady())) await new Promise((resolve) => setTimeout(resolve, 20));
  t.match(await run(...question), { code: 0, text: /^no data centre is evacuated \(vm-1/ });
  fleet.store.put(names.TOPIC_NAMES.configuration, "evacuate/dc-b", {});
  while ((await run(...question)).text.startsWith("no data centre"));
  const { text } = await run(...question);
  t.match(text, /^dc-b +\d{4}-\d\d-\d\dT\S+Z +\d+ ms$/m);
  t.match(text, /^vm-1, confirmed by the store: \d+ ms ago$/m);
  const { evacuations } = JSON.parse((await run(...question, "--json")).text) as {
    readonly evacuations: readonly { readonly dataCentre: string }[];
  };
  t.same(
    evacuations.map(({ dataCentre }) => dataCentre),
    ["dc-b"],
  );
});

tap.test("a gateway that does not answer is an error", async (t) => {
  const { code } = await run("evacuations", "--gateway", "127.0.0.1:1");
  t.equal(code, constants.ExitCode.Unavailable);
});
