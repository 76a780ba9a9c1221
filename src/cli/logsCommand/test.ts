import * as fs from "node:fs/promises";
import * as path from "node:path";

import tap, { type Test } from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as program from "../createProgram/index.js";

interface Finished {
  readonly code: constants.ExitCode;
  readonly out: string;
  readonly err: string;
}

async function run(...args: readonly string[]): Promise<Finished> {
  let out = "";
  let err = "";
  const code = await program.runProgram(args, {
    clock: new virtualClocks.VirtualClock(),
    environment: {},
    writeOut: (text) => void (out += text),
    writeErr: (text) => void (err += text),
    createClient: () => Promise.reject(new Error("no daemon is needed")),
  });
  return { code, out, err };
}

async function writeLog(t: Test, name: string, lines: readonly string[]): Promise<string> {
  const file = path.join(t.testdir(), name);
  await fs.writeFile(file, lines.join("\n"));
  return file;
}

const REFUSED = JSON.stringify({
  event: "request-refused",
  vm: "vm-1",
  time: "2026-11-04T07:30:00.000Z",
  requestId: "r1",
  reason: "no-room",
  status: 503,
  retryAfterMs: 700,
});

tap.test("a request's history ends with its cause", async (t) => {
  const file = await writeLog(t, "vm-1.log", [REFUSED, "not a decision"]);
  const { code, out, err } = await run("logs", "request", "r1", file);
  t.equal(code, constants.ExitCode.Ok);
  t.match(out, /vm-1 request-refused reason=no-room/);
  t.match(out, /refused: answered with status 503 for no-room, retry after 700 ms/);
  t.match(err, /1 lines contain no decision/);
});

tap.test("the requests of a resumed stream are shown with it", async (t) => {
  const placed = (requestId: string, vm: string, lastEventId: number): string =>
    JSON.stringify({
      event: "request-placed",
      vm,
      time: `2026-11-04T07:30:0${lastEventId}.000Z`,
      requestId,
      streamKey: "k1",
      lastEventId,
    });
  const file = await writeLog(t, "all.log", [placed("r1", "vm-1", 0), placed("r2", "vm-2", 4)]);
  const { out } = await run("logs", "request", "r2", file);
  t.match(out, /vm-1 r1 after event 0\n.*vm-2 r2 after event 4/);
});

tap.test("an unknown request, an unreadable file and an invalid time are errors", async (t) => {
  const file = await writeLog(t, "vm-1.log", [REFUSED]);
  t.equal((await run("logs", "request", "r2", file)).code, constants.ExitCode.NotFound);
  t.equal((await run("logs", "unserved", `${file}.missing`)).code, constants.ExitCode.Usage);
  const badTime = await run("logs", "configuration", "--at", "noon", file);
  t.equal(badTime.code, constants.ExitCode.Usage);
});

tap.test("unserved requests are shown as a table, and the help has examples", async (t) => {
  const file = await writeLog(t, "vm-1.log", [REFUSED]);
  const unserved = await run("logs", "unserved", file);
  t.match(unserved.out, /r1 +refused +answered with status 503/);
  t.match(unserved.err, /1 of 1 have a cause/);
  t.match((await run("logs", "--help")).out, /chiveferry logs server/);
});
