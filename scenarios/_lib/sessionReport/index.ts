import * as platform from "../../../src/controlPlane/types.js";
import type * as callerSessions from "../callerSession/index.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as tokenRanges from "../tokenRanges/index.js";
import * as placeholders from "./placeholders.js";
import * as requestLogs from "./requestLog.js";

/**
 * Describes the requests, answers and records that every party of a scenario saw, as a text that
 * is the same in every run: placeholders replace ids, ports and samplings, ranges replace tokens,
 * and lines whose order differs between runs are sorted.
 */
export function describeSession(run: scenarioRuns.ScenarioRun): string {
  const replacements = new placeholders.Placeholders();
  for (const caller of run.callers.values()) {
    if (caller.requestId !== null) replacements.assign(caller.requestId, `<id of ${caller.name}>`);
  }
  const sections = [
    ...[...run.callers.values()].map((caller) => describeCaller(caller, replacements)),
    requestLogs.describeEngines(run, replacements),
    describeServices(run),
    ...describeLog(run),
  ];
  return replacements.replaceIn(`${sections.filter((text) => text !== "").join("\n\n")}\n`);
}

function describeCaller(
  caller: callerSessions.CallerSession,
  replacements: placeholders.Placeholders,
): string {
  const lines = [`caller ${caller.name}`];
  for (const exchange of caller.exchanges) {
    lines.push(`  ${exchange.method} ${exchange.path}`);
    const status = exchange.statusCode === null ? "no answer" : String(exchange.statusCode);
    lines.push(`    ${status} ${exchange.contentType}`.trimEnd());
    if (exchange.body !== "" && caller.tokens.length === 0) lines.push(`    ${exchange.body}`);
    if (exchange.brokenReason !== null) lines.push("    the connection broke");
  }
  for (const item of tokenRanges.groupTokenRanges(caller.tokens)) {
    replacements.assign(
      item.sampling,
      `<sampling ${replacements.countWithPrefix("<sampling") + 1}>`,
    );
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

/** Describes the log records of callers and operators, without those written periodically. */
function describeLog(run: scenarioRuns.ScenarioRun): readonly string[] {
  const payloadsOf = (stream: platform.LogStream): readonly unknown[] =>
    run.world.log.model.recordsOf(stream).map((record) => record.payload);
  return [
    requestLogs.describeChanges(payloadsOf(platform.LogStream.Catalogue)),
    requestLogs.describeCalls(payloadsOf(platform.LogStream.Calls)),
  ];
}
