import type * as dispatch from "../../../dispatch/index.js";
import type * as servers from "../../../servers/index.js";
import type * as datagrams from "../datagrams/index.js";
import * as speedCodec from "../speedCodec/index.js";

/** What a VM has learned of servers from their answers, for its heartbeats, and what it does with its peers'. */
export interface ServerReportContext {
  /** Lists the services whose servers have rejected requests lately. */
  readonly listOverloads: () => readonly servers.Overload[];
  /** Called with each such service that a peer reports. */
  readonly onOverload: (overload: servers.Overload) => void;
  /** Lists what this VM has learned of plain servers' loads, a few at a time. */
  readonly listLoads: () => readonly servers.LoadStatement[];
  /** Called with what a peer has learned of one. */
  readonly onLoad: (statement: servers.LoadStatement) => void;
  /** Lists what this VM has observed of engines' speeds. */
  readonly listEngineSpeeds: () => readonly dispatch.SpeedStatement[];
  /** Called with what a peer has observed of an engine's speed. */
  readonly onEngineSpeed: (vmName: string, statement: dispatch.SpeedStatement) => void;
  /** Lists the statements on rates that this VM has received from servers. */
  readonly listRateStatements: () => readonly servers.RateStatement[];
  /** Called with each statement that a peer has received. */
  readonly onRateStatement: (statement: servers.RateStatement) => void;
}

/** The fields of a heartbeat that report on servers. */
type ServerReports = Pick<
  datagrams.Heartbeat,
  "rateStatements" | "overloads" | "loads" | "engineSpeeds"
>;

/** Lists what this VM has learned of servers, as encoded in a heartbeat. */
export function listServerReports(context: ServerReportContext): ServerReports {
  return {
    rateStatements: context.listRateStatements(),
    overloads: context.listOverloads(),
    loads: context
      .listLoads()
      .map(({ serverId, bornAtWallMs, fastMs, rejectedAgoMs }) => [
        serverId,
        bornAtWallMs,
        fastMs,
        rejectedAgoMs,
      ]),
    engineSpeeds: context.listEngineSpeeds().map(speedCodec.encodeSpeed),
  };
}

/** Applies what a peer's heartbeat reports of servers. */
export function applyServerReports(
  reports: ServerReports & Pick<datagrams.Heartbeat, "vmName">,
  context: ServerReportContext,
): void {
  reports.rateStatements.forEach(context.onRateStatement);
  reports.overloads.forEach(context.onOverload);
  for (const [serverId, bornAtWallMs, fastMs, rejectedAgoMs] of reports.loads)
    context.onLoad({ serverId, bornAtWallMs, fastMs, rejectedAgoMs });
  for (const speed of reports.engineSpeeds.map(speedCodec.decodeSpeed))
    context.onEngineSpeed(reports.vmName, speed);
}
