import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as catalogueSteps from "./catalogueSteps.js";
import * as expectationSteps from "./expectationSteps.js";
import * as faultSteps from "./faultSteps.js";
import * as requestSteps from "./requestSteps.js";
import * as vmSteps from "./vmSteps.js";
import * as waitSteps from "./waitSteps.js";

type StepHandlers = {
  readonly [Name in types.StepName]: (
    run: scenarioRuns.ScenarioRun,
    step: types.StepOf<Name>,
  ) => void | Promise<void>;
};

const HANDLERS: StepHandlers = {
  start: vmSteps.start,
  restart: vmSteps.restart,
  kill: vmSteps.kill,
  pause: vmSteps.pause,
  resume: vmSteps.resume,
  leave: vmSteps.leave,
  apply: catalogueSteps.apply,
  drain: catalogueSteps.drain,
  generate: requestSteps.generate,
  reattach: requestSteps.reattach,
  detach: requestSteps.detach,
  call: requestSteps.call,
  send: requestSteps.send,
  cut: faultSteps.cut,
  heal: faultSteps.heal,
  inject: faultSteps.inject,
  wait: waitSteps.wait,
  "expect-request": expectationSteps.expectRequest,
  "expect-service": expectationSteps.expectService,
  "expect-engine": expectationSteps.expectEngine,
  "expect-vm": expectationSteps.expectVm,
  "expect-item": expectationSteps.expectItem,
  "expect-trace": expectationSteps.expectTrace,
};

/** Runs one step; throws an Error that describes the failure. */
export async function runStep<Name extends types.StepName>(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<Name>,
): Promise<void> {
  const handler = HANDLERS[step.do];
  await handler(run, step);
}
