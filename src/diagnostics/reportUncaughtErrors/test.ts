import * as events from "node:events";

import tap from "tap";

import * as metersModule from "../meters/index.js";
import type * as types from "../types.js";
import * as reports from "./index.js";

// Guards against the end of a whole process, with all its requests, at one error.
tap.test(
  "errors that no code has handled are reported until the reports are disposed",
  async (t) => {
    const process = new events.EventEmitter();
    const lines: types.LogFields[] = [];
    const meters = new metersModule.Meters();
    const log: types.DecisionLog = { record: (_importance, _event, fields) => lines.push(fields) };
    const reporting = reports.reportUncaughtErrors(process, { log, meters });
    process.emit("unhandledRejection", new Error("first"));
    process.emit("uncaughtException", new Error("second"));
    reporting[Symbol.dispose]();
    process.emit("unhandledRejection", new Error("third"));
    t.match(lines, [{ error: /first/ }, { error: /second/ }]);
    t.equal(lines.length, 2);
    t.match(await meters.text(), /internal_errors_total\{origin="unhandled"\} 2/);
  },
);

// Guards against a report that throws, which ends the process.
tap.test("an error without a text is reported, too", (t) => {
  const process = new events.EventEmitter();
  const lines: types.LogFields[] = [];
  const log: types.DecisionLog = { record: (_importance, _event, fields) => lines.push(fields) };
  const meters = new metersModule.Meters();
  const reporting = reports.reportUncaughtErrors(process, { log, meters });
  process.emit("unhandledRejection", Object.create(null));
  reporting[Symbol.dispose]();
  t.match(lines, [{ error: "an error without a text" }]);
  t.end();
});
