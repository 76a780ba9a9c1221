import type * as types from "../../types.js";
import type * as callerSessions from "../callerSession/index.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as vmSettings from "../vmSettings.js";

const JSON_HEADERS = { "content-type": "application/json" };

/** Sends a request for a generation; the answer is received in the background. */
export function generate(run: scenarioRuns.ScenarioRun, step: types.StepOf<"generate">): void {
  const body = {
    model: step.entry,
    prompt: `${step.prompt} #tokens=${step.tokens}`,
    stream: step.stream,
    ...(step.maxTokens === undefined ? {} : { max_tokens: step.maxTokens }),
    ...(step.deadlineMs === undefined ? {} : { deadline_ms: step.deadlineMs }),
  };
  sendInBackground(run, run.addCaller(step.as), step.at, {
    method: "POST",
    path: "/v1/completions",
    headers: { ...JSON_HEADERS, ...createKeyHeader(step.account) },
    body: JSON.stringify(body),
  });
}

/** Re-attaches a caller to its request, after the last token that the caller has received. */
export function reattach(run: scenarioRuns.ScenarioRun, step: types.StepOf<"reattach">): void {
  const caller = run.caller(step.as);
  const { requestId, lastEventId, lastHeaders } = caller;
  const isBroken = caller.isEnded && caller.finishReason === null;
  if (step.ifBroken && !isBroken) return;
  caller.detach();
  if (requestId === null) throw new Error(`request ${step.as} has no request id yet`);
  const { authorization = "" } = lastHeaders;
  sendInBackground(run, caller, step.at, {
    method: "GET",
    path: `/v1/requests/${requestId}`,
    headers: {
      authorization,
      ...(lastEventId === null ? {} : { "last-event-id": lastEventId }),
    },
  });
}

/** Closes the connection of a caller. */
export function detach(run: scenarioRuns.ScenarioRun, step: types.StepOf<"detach">): void {
  run.caller(step.as).detach();
}

/** Calls a plain service; the answer is received in the background. */
export function call(run: scenarioRuns.ScenarioRun, step: types.StepOf<"call">): void {
  const key = step.key === undefined ? {} : { "idempotency-key": step.key };
  sendInBackground(run, run.addCaller(step.as), step.at, {
    method: "POST",
    path: `/v1/calls/${step.entry}`,
    headers: { ...JSON_HEADERS, ...createKeyHeader(step.account), ...key },
    body: step.body,
  });
}

/** Sends an arbitrary request, which may be invalid. */
export function send(run: scenarioRuns.ScenarioRun, step: types.StepOf<"send">): void {
  const body = step.bodyBytes === undefined ? step.body : " ".repeat(step.bodyBytes);
  sendInBackground(run, run.addCaller(step.as), step.at, {
    method: step.method,
    path: step.path,
    headers: {
      ...JSON_HEADERS,
      ...(step.account === undefined ? {} : createKeyHeader(step.account)),
      ...step.headers,
    },
    body,
  });
}

function sendInBackground(
  run: scenarioRuns.ScenarioRun,
  caller: callerSessions.CallerSession,
  vmName: string | undefined,
  request: Omit<callerSessions.CallerRequest, "url">,
): void {
  const vm = run.vmAt(vmName);
  caller.vmName = vm.party.name;
  void caller.send({ ...request, url: `${vm.callerUrl}${request.path}` });
}

function createKeyHeader(account: string): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${vmSettings.deriveKey(account)}` };
}
