import * as traces from "../../src/cli/renderTrace/index.js";
import * as scenarios from "../../scenarios/index.js";
import * as localScenario from "./_lib/localScenario.js";

const DRAFT_TOKENS = 2_400;

/** Number of received tokens at which the draft's engine is killed. */
const KILL_AT_TOKENS = 1_200;

const PERMIT_KEY = "permit-2026-17";

const PERMIT_BODY = '{"park":"north","walkers":4}';

const createFilingStep = (as: string, at: string): object => ({
  do: "call",
  as,
  at,
  entry: "file-permit",
  account: "walkers",
  key: PERMIT_KEY,
  body: PERMIT_BODY,
});

/** The printed description and the scenario step of each demo action and final check. */
const DEMO_STEPS: readonly (readonly [string, object])[] = [
  [
    `a walker asks riga-a-1 for a draft of ${DRAFT_TOKENS} tokens`,
    {
      do: "generate",
      as: "draft",
      at: "riga-a-1",
      entry: "route-justification",
      account: "walkers",
      tokens: DRAFT_TOKENS,
    },
  ],
  [
    `${KILL_AT_TOKENS} tokens have arrived`,
    { do: "wait", request: "draft", tokens: KILL_AT_TOKENS, timeoutMs: 60_000 },
  ],
  ["the engine that runs the draft is killed", { do: "kill", target: "engine-of:draft" }],
  ["a permit is filed at riga-a-1", createFilingStep("first", "riga-a-1")],
  ["the same permit is filed at riga-a-2 at the same time", createFilingStep("second", "riga-a-2")],
  ["the first filing is answered", { do: "wait", request: "first", timeoutMs: 30_000 }],
  ["the second filing is answered", { do: "wait", request: "second", timeoutMs: 30_000 }],
  ["the draft ends", { do: "wait", request: "draft", timeoutMs: 90_000 }],
  [
    `every token has arrived once, in order, from a single sampling`,
    { do: "expect-request", as: "draft", status: 200, tokens: DRAFT_TOKENS, finish: "stop" },
  ],
  [
    "the draft's explanation names the engine's death and where it was continued",
    {
      do: "expect-trace",
      as: "draft",
      steps: ["engine.started", "run.engine-lost", "engine.started", "run.placed"],
      offsetAtLeast: KILL_AT_TOKENS,
    },
  ],
  ["the first filing has succeeded", { do: "expect-request", as: "first", status: 200 }],
  [
    "the second filing has the same answer",
    { do: "expect-request", as: "second", status: 200, sameAnswerAs: "first" },
  ],
  [
    "the permit service has filed it once",
    { do: "expect-service", service: "permits", key: PERMIT_KEY, runs: 1 },
  ],
];

/**
 * Runs the demo with two daemons and two engines: an engine is killed during a draft, and a permit
 * is filed twice. Returns whether every step succeeded.
 */
async function main(): Promise<boolean> {
  const scenario = localScenario.createLocalScenario(
    ["riga-a-1", "riga-a-2"],
    DEMO_STEPS.map(([, step]) => step),
  );
  const firstDemoStep = scenario.steps.length - DEMO_STEPS.length;
  print("two daemons and two engines start");
  let explanation = "";
  const report = await scenarios.runScenario(scenario, async ({ number, failure }, run) => {
    const [text = "the catalogue is published"] = DEMO_STEPS[number - 1 - firstDemoStep] ?? [];
    print(failure === null ? `ok      ${text}` : `FAILED  ${text}: ${failure}`);
    if (number === scenario.steps.length) explanation = await explainDraft(run);
  });
  print(`\nchiveferry explain, of the draft:\n\n${explanation}`);
  print(`\nWhat every party saw:\n\n${report.session}`);
  return report.steps.every((step) => step.failure === null);
}

async function explainDraft(run: scenarios.ScenarioRun): Promise<string> {
  const { requestId } = run.caller("draft");
  const trace = await run.adminOf(run.vmAt("riga-a-1")).explainRequest(requestId ?? "");
  return traces.renderTrace(trace.value);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

process.exitCode = (await main()) ? 0 : 1;
