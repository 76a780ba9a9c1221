import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as telemetry from "../../telemetry/index.js";
import * as pages from "./index.js";
import * as tables from "../renderBurnTable/index.js";

const NOW_MS = Date.UTC(2026, 5, 1);

function createSeries(): readonly telemetry.BurnSeries[] {
  const clock = new virtualClocks.VirtualClock(NOW_MS);
  const recorder = new telemetry.BurnRecorder(clock, () => ({
    owner: "<owner>",
    objectives: { firstTokenMs: 300, targetRatio: 0.95 },
  }));
  for (const valueMs of [100, 200, 400, 100]) {
    recorder.observe(telemetry.Measure.FirstTokenMs, "draft", valueMs);
  }
  return recorder.report();
}

tap.test("the page has a table and plots, escapes names and loads no other resources", (t) => {
  const html = pages.renderBurnHtml(createSeries(), {
    generatedAtWallMs: NOW_MS,
    missingVms: ["vm-9"],
  });
  t.match(html, "<svg");
  t.match(html, "vm-9");
  t.match(html, '<td class="over">5.00</td>');
  t.match(html, "&lt;owner&gt;");
  t.notMatch(html, /src=|href=/);
  t.end();
});

tap.test("the table shows the burn rate of each window", (t) => {
  const text = tables.renderBurnTable(createSeries());
  t.match(text, /OWNER +ENTRY +OBJECTIVE/);
  t.match(text, /draft +first-token +300 ms +0.95 +5.00 +5.00 +5.00/);
  t.end();
});
