import * as fs from "node:fs/promises";
import * as path from "node:path";

import tap, { type Test } from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";
import * as adminClients from "../adminClient/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";
import * as program from "./index.js";

const ENTRY_YAML = `kind: generation
name: summary
owner: gauja
class: batch
model: drafter
version: "1"
maxTokens: 100
deadlineMs: 60000
maxWaitingCount: 10
abandonAfterMs: null
keepFinishedMs: 1000
minLoadedEngines: 1
objectives: { stallMs: 1000, targetRatio: 0.9 }
`;

interface Finished {
  readonly code: constants.ExitCode;
  readonly out: string;
  readonly err: string;
}

type RunCli = (...args: string[]) => Promise<Finished>;

/** Creates a function that runs command lines against a daemon with an operator's key. */
function createCli(url: string, key: string): RunCli {
  return async (...args) => {
    let out = "";
    let err = "";
    const context: types.CliContext = {
      clock: new clocks.SystemClock(),
      environment: { CHIVEFERRY_ADMIN: url },
      writeOut: (text) => (out += text),
      writeErr: (text) => (err += text),
      createClient: async ({ admin }) => new adminClients.AdminClient({ url: admin, key }),
    };
    const code = await program.runProgram(args, context);
    return { code, out, err };
  };
}

async function startWithCli(
  t: Test,
): Promise<{ readonly run: RunCli; readonly setup: localDaemons.LocalDaemon }> {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(setup);
  return { run: createCli(setup.daemon.adminUrl, localDaemons.OPERATOR_KEY), setup };
}

async function generate({ daemon }: localDaemons.LocalDaemon): Promise<string> {
  const response = await fetch(`${daemon.callerUrl}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${localDaemons.ACCOUNT_KEY}` },
    body: JSON.stringify({ model: "draft", prompt: "route #tokens=40", stream: true }),
  });
  await response.text();
  return response.headers.get("x-request-id") ?? "";
}

tap.test(
  "catalogue commands change items and show which VMs have the change in force",
  async (t) => {
    const { run } = await startWithCli(t);
    const file = path.join(t.testdir({ "entry.yaml": ENTRY_YAML }), "entry.yaml");
    const dry = await run("catalogue", "apply", file, "--dry-run");
    t.match(dry.out, /generation\/summary \(new\)/);
    const applied = await run("catalogue", "apply", file, "--wait", "7");
    t.equal(applied.code, constants.ExitCode.Ok, applied.err);
    t.match(applied.out, /accepted generation\/summary at \d+/);
    t.match(applied.out, /in force on: vm-1/);
    t.match((await run("catalogue", "apply", file)).out, /nothing to change/);
    t.match((await run("catalogue", "get", "generation", "summary")).out, /^# revision \d+/);
    t.match((await run("catalogue", "history", "generation", "summary")).out, /anna/);
    t.match((await run("catalogue", "status")).out, /not yet on: {2}-/);
    await fs.writeFile(file, ENTRY_YAML.replace("maxTokens: 100", "maxTokens: 200"));
    t.match((await run("catalogue", "diff", file)).out, /maxTokens: 100 -> 200/);
    const stale = await run("catalogue", "apply", file, "--expect-revision", "0");
    t.equal(stale.code, constants.ExitCode.Conflict);
    t.match(stale.err, /current revision: \d+/);
    const removed = await run("catalogue", "remove", "generation", "summary");
    t.match(removed.out, /removed generation\/summary/);
  },
);

tap.test(
  "fleet commands list VMs, servers and queue, and drain and restore an engine",
  async (t) => {
    const { run } = await startWithCli(t);
    t.match((await run("nodes")).out, /vm-1 +riga +riga-a +live/);
    t.match((await run("backends")).out, /engine-1 +engine/);
    t.match((await run("queue")).out, /REQUEST/);
    t.match((await run("drain", "engine", "engine-1")).out, /engine\/engine-1 is draining/);
    t.match((await run("drain", "engine", "engine-1", "--undo")).out, /is active/);
    t.match((await run("top", "--count", "1")).out, /vm-1 \(riga-a\), ready/);
    const nodes = JSON.parse((await run("nodes", "--json")).out) as readonly { name: string }[];
    t.same(
      nodes.map(({ name }) => name),
      ["vm-1"],
    );
  },
);

tap.test("explain shows the decisions about a request and the state of an engine", async (t) => {
  const { run, setup } = await startWithCli(t);
  const requestId = await generate(setup);
  const explained = await run("explain", requestId);
  t.equal(explained.code, constants.ExitCode.Ok, explained.err);
  t.match(explained.out, /engine-1/);
  t.match((await run("explain", "engine", "engine-1")).out, /takes work/);
  const unknown = await run("explain", "engine", "engine-9");
  t.equal(unknown.code, constants.ExitCode.NotFound);
});

tap.test(
  "the burn report is printed as a table or JSON, and written as a page with plots",
  async (t) => {
    const { run, setup } = await startWithCli(t);
    await generate(setup);
    t.match((await run("report", "burn")).out, /gauja +draft +first-token/);
    const json = JSON.parse((await run("report", "burn", "--json")).out) as { series: unknown[] };
    t.ok(json.series.length > 0);
    const page = path.join(t.testdir({}), "burn.html");
    t.equal((await run("report", "burn", "--html", page)).code, constants.ExitCode.Ok);
    t.match(await fs.readFile(page, "utf8"), "<svg");
  },
);

tap.test("invalid input yields one message with an exit code and no stack trace", async (t) => {
  const { run, setup } = await startWithCli(t);
  const file = path.join(t.testdir({ "bad.yaml": "kind: generation\nname: x\n" }), "bad.yaml");
  const cases: readonly [Promise<Finished>, constants.ExitCode][] = [
    [run("catalogue", "apply", file), constants.ExitCode.Usage],
    [run("catalogue", "apply", `${file}.missing`), constants.ExitCode.Usage],
    [run("catalogue", "get", "engine", "none"), constants.ExitCode.NotFound],
    [run("drain", "engine", "none"), constants.ExitCode.NotFound],
    [run("no-such-command"), constants.ExitCode.Usage],
    [run("nodes", "--admin", "http://127.0.0.1:9"), constants.ExitCode.Unavailable],
    [createCli(setup.daemon.adminUrl, "wrong")("nodes"), constants.ExitCode.Forbidden],
    [run("settings", "check", file), constants.ExitCode.InvalidSettings],
    [run("completion", "zsh"), constants.ExitCode.Usage],
  ];
  for (const [running, code] of cases) {
    const finished = await running;
    t.equal(finished.code, code, finished.err);
    t.ok(finished.err.length > 0);
    t.notMatch(finished.err, /\n +at /);
  }
});

tap.test("key, completion and help work without a daemon", async (t) => {
  const run = createCli("http://127.0.0.1:9", "unused");
  t.match((await run("key", "new")).out, /^key: {2}\S{40,}\nhash: [0-9a-f]{64}\n$/);
  t.match((await run("completion", "bash")).out, /catalogue apply/);
  t.match((await run("--help")).out, /Exit codes/);
});
