import tap from "tap";

import * as stepError from "../../_lib/stepError/index.js";
import * as problems from "./index.js";

tap.test("a refusal says that nothing was run, and when to come back", (t) => {
  const error = new stepError.StepError("12 requests wait already", {
    code: stepError.ErrorCode.Overloaded,
    step: "queue.push",
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs: 1_200.4,
  });
  t.same(problems.problemOf(error, "r1"), {
    type: "urn:chiveferry:problem:overloaded",
    title: "No room for more work",
    status: 503,
    detail: "12 requests wait already",
    execution: "not-run",
    step: "queue.push",
    requestId: "r1",
    retryAfterMs: 1_201,
  });
  t.end();
});

tap.test("every error code has a status of its kind", (t) => {
  for (const code of Object.values(stepError.ErrorCode)) {
    const error = new stepError.StepError("m", {
      code,
      step: "s",
      execution: stepError.ExecutionState.Unknown,
    });
    t.ok(problems.problemOf(error).status >= 400, code);
  }
  t.end();
});
