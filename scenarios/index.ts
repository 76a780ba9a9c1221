export { ScenarioRun } from "./_lib/scenarioRun/index.js";
export { describeSession } from "./_lib/sessionReport/index.js";
export { runStep } from "./_lib/steps/index.js";
export { deriveKey } from "./_lib/vmSettings.js";
export { groupTokenRanges } from "./_lib/tokenRanges/index.js";
export { parseScenario } from "./parseScenario/index.js";
export { runScenario } from "./runScenario/index.js";
export { FileVerdict, runScenarioFile } from "./runScenarioFile/index.js";
export type * from "./types.js";
