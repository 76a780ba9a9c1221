import * as platform from "../../../src/controlPlane/types.js";
import type * as callerSessions from "../callerSession/index.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as tokenRuns from "../tokenRuns/index.js";
import * as placeholders from "./placeholders.js";
import * as requestLogs from "./requestLog.js";

/**
 * What every party of a scenario saw, as a text that is the same in every run: ids, ports and
 * samplings become placeholders, tokens become runs, and what has no order between parties is
 * sorted.
 */
export function describeSession(run: scenarioRuns.ScenarioRun): string {
  const names = new placeholders.Placeholders();
  for (const caller of run.callers.values()) {
    if (caller.requestId !== null) names.name(caller.requestId, `<id of ${caller.name}>`);
  }
  const sections = [
    ...[...run.callers.values()].map((caller) => describeCaller(caller, names)),
    requestLogs.describeEngines(run, names),
    describeServices(run),
    ...describeLog(run),
  ];
  return names.replaceIn(`${sections.filter((text) => text !== "").join("\n\n")}\n`);
}

function describeCaller(
  caller: callerSessions.CallerSession,
  names: placeholders.Placeholders,
): string {
  const lines = [`caller ${caller.name}`];
  for (const exchange of caller.exchanges) {
    lines.push(`  ${exchange.method} ${exchange.path}`);
    const status = exchange.statusCode === null ? "no answer" : String(exchange.statusCode);
    lines.push(`    ${status} ${exchange.contentType}`.trimEnd());
    if (exchange.body !== "" && caller.tokens.length === 0) lines.push(`    ${exchange.body}`);
    if (exchange.brokenReason !== null) lines.push("    the connection broke");
  }
  for (const item of tokenRuns.gatherTokenRuns(caller.tokens)) {
    names.name(item.sampling, `<sampling ${names.countOf("<sampling") + 1}>`);
    lines.push(`  tokens ${item.firstOffset}-${item.lastOffset} of ${item.sampling}`);
  }
  if (caller.finishReason !== null) lines.push(`  finish ${caller.finishReason}`);
  if (caller.problem !== null && caller.tokens.length > 0) {
    lines.push(`  problem ${caller.problem.type}, execution ${caller.problem.execution}`);
  }
  return lines.join("\n");
}

function describeServices(run: scenarioRuns.ScenarioRun): string {
  const services = [...new Set(run.scenario.services.map((item) => item.service))];
  return services
    .map((service) => {
      const runs = run.world.serviceModel(service).countRuns();
      const lines = runs.map(({ run: call, count }) => {
        const key = call.key === null ? "without key" : `key ${call.key}`;
        return `  ${call.method} ${call.path} ${key} body ${call.body}: ran ${count} time(s)`;
      });
      return [`service ${service}`, ...lines.sort()].join("\n");
    })
    .join("\n\n");
}

/** Records that callers and operators cause; not those that time alone causes. */
function describeLog(run: scenarioRuns.ScenarioRun): readonly string[] {
  const payloadsOf = (stream: platform.LogStream): readonly unknown[] =>
    run.world.log.model.recordsOf(stream).map((record) => record.payload);
  return [
    requestLogs.describeChanges(payloadsOf(platform.LogStream.Catalogue)),
    requestLogs.describeCalls(payloadsOf(platform.LogStream.Calls)),
  ];
}
