import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as logReading from "../index.js";

function parseLines(...texts: readonly string[]): readonly logReading.LogLine[] {
  return texts
    .map((text, index) => logReading.parseLogLine(text, index))
    .filter((line) => line !== null);
}

tap.test("a refusal is explained by its reason and its retry delay", async (t) => {
  const lines = parseLines(
    fixtures.formatLogLine("vm-1", 0, "request-refused", {
      requestId: "r1",
      reason: "stale-configuration",
      status: 503,
      retryAfterMs: 1_000,
      detail: "view 4700 ms old",
    }),
  );
  const explanation = logReading.explainRequest(lines, "r1");
  t.equal(explanation?.outcome, logReading.RequestOutcome.Refused);
  t.match(explanation?.cause, /503 for stale-configuration \(view 4700 ms old\).*1000 ms/);
});

tap.test(
  "a broken stream is explained by its server, the server's leaving, and its backup",
  async (t) => {
    const lines = parseLines(
      fixtures.formatLogLine("vm-1", 0, "request-placed", { requestId: "r1", serverId: "e1" }),
      fixtures.formatLogLine("vm-1", 900, "stream-broken", {
        requestId: "r1",
        serverId: "e1",
        cause: "cut-off",
        serverLeaving: "announced",
        lastEventId: 41,
        hadBackup: false,
      }),
    );
    const explanation = logReading.explainRequest(lines, "r1");
    t.equal(explanation?.outcome, logReading.RequestOutcome.Broken);
    t.match(explanation?.cause, /after event 41 on e1, which left \(announced\); it had no backup/);
  },
);

tap.test(
  "a request without an end in the log is explained by the kill of its process",
  async (t) => {
    const lines = parseLines(
      fixtures.formatLogLine("vm-1", 0, "request-placed", { requestId: "r1", serverId: "e1" }),
      fixtures.formatLogLine("vm-2", 300, "started"),
      fixtures.formatLogLine("vm-1", 2_000, "started"),
    );
    const explanation = logReading.explainRequest(lines, "r1");
    t.equal(explanation?.outcome, logReading.RequestOutcome.Unfinished);
    t.match(explanation?.cause, /vm-1 was killed/);
  },
);

tap.test(
  "a request's history is ordered by time, whatever the order of the lines read",
  async (t) => {
    const lines = parseLines(
      fixtures.formatLogLine("vm-2", 500, "request-served", { requestId: "r1", serverId: "e1" }),
      fixtures.formatLogLine("vm-1", 0, "request-placed", { requestId: "r1", serverId: "e1" }),
      fixtures.formatLogLine("vm-1", 0, "attempt-ended", { requestId: "r1", serverId: "e1" }),
    );
    t.same(
      logReading.findRequestHistory(lines, "r1").map(({ event }) => event),
      ["request-placed", "attempt-ended", "request-served"],
    );
    t.equal(logReading.explainRequest(lines, "r1")?.outcome, logReading.RequestOutcome.Served);
    t.equal(logReading.explainRequest(lines, "r2"), null);
  },
);

tap.test(
  "lines without a decision are skipped, and so is a prefix before the JSON object",
  async (t) => {
    t.equal(logReading.parseLogLine("plain text", 0), null);
    t.equal(logReading.parseLogLine('{"event":"unheard-of","vm":"a","time":"x"}', 0), null);
    const text = `Nov 04 vm-1 chiveferry: ${fixtures.formatLogLine("vm-1", 0, "started")}`;
    t.equal(logReading.parseLogLine(text, 0)?.event, "started");
  },
);

tap.test("all requests that were not served are listed with their causes", async (t) => {
  const lines = parseLines(
    fixtures.formatLogLine("vm-1", 0, "request-served", { requestId: "r1", serverId: "e1" }),
    fixtures.formatLogLine("vm-1", 1, "request-failed", {
      requestId: "r2",
      serverId: "s1",
      status: 500,
      sendsCount: 3,
    }),
    fixtures.formatLogLine("vm-1", 2, "caller-gone", { requestId: "r3", elapsedMs: 70 }),
  );
  t.same(
    logReading.explainUnservedRequests(lines).map(({ requestId, cause }) => [requestId, cause]),
    [
      ["r2", "s1 answered with status 500 after 3 sends"],
      ["r3", "the caller closed the connection after 70 ms"],
    ],
  );
});

tap.test("a VM's view ends when its process restarts", async (t) => {
  const lines = parseLines(
    fixtures.formatLogLine("vm-1", 0, "configuration-taken", { version: 3 }),
    fixtures.formatLogLine("vm-2", 0, "configuration-taken", { version: 3 }),
    fixtures.formatLogLine("vm-2", 10, "server-leaving", { serverId: "e1", sign: "announced" }),
    fixtures.formatLogLine("vm-1", 20, "started"),
    fixtures.formatLogLine("vm-2", 30, "configuration-taken", { version: 4 }),
  );
  const versionsAt = (afterMs: number): readonly unknown[] =>
    logReading
      .findConfigurationViewsAt(lines, fixtures.START_MS + afterMs)
      .map(({ vmName, line }) => [vmName, line.fields.version]);
  t.same(versionsAt(15), [
    ["vm-1", 3],
    ["vm-2", 3],
  ]);
  t.same(versionsAt(40), [["vm-2", 4]]);
  const views = logReading.findServerViewsAt(lines, "e1", Infinity);
  t.same(
    views.map(({ vmName, line }) => [vmName, line.fields.sign]),
    [["vm-2", "announced"]],
  );
});
