import tap from "tap";

import * as stepError from "../../_lib/stepError/index.js";
import * as problems from "./index.js";

tap.test(
  "a refusal reports execution not-run and the retry delay, rounded up to milliseconds",
  (t) => {
    const error = new stepError.StepError("12 requests wait already", {
      code: stepError.ErrorCode.Overloaded,
      step: "queue.push",
      execution: stepError.ExecutionState.NotRun,
      retryAfterMs: 1_200.4,
    });
    t.same(problems.createProblem(error, "r1"), {
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
  },
);

tap.test("every error code maps to an error status", (t) => {
  for (const code of Object.values(stepError.ErrorCode)) {
    const error = new stepError.StepError("m", {
      code,
      step: "s",
      execution: stepError.ExecutionState.Unknown,
    });
    t.ok(problems.createProblem(error).status >= 400, code);
  }
  t.end();
});
