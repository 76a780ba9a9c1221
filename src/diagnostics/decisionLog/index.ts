import * as bunyan from "bunyan";

import type * as clocks from "../../_lib/clock/index.js";
import type * as boundedWriter from "../boundedWriter/index.js";
import * as types from "../types.js";

/** Interval at which the number of dropped lines is logged. */
const DROP_REPORT_INTERVAL_MS = 5_000;

const LEVEL_BY_IMPORTANCE: Readonly<Record<types.Importance, "debug" | "info" | "warn">> = {
  [types.Importance.Routine]: "debug",
  [types.Importance.Notable]: "info",
  [types.Importance.StateChange]: "warn",
};

/** A decision log that writes bunyan records through a bounded writer. */
export class BunyanDecisionLog implements types.DecisionLog, Disposable {
  private currentImportance = types.Importance.StateChange;
  private readonly logger: ReturnType<typeof bunyan.default.createLogger>;
  private reportTimer: Disposable;

  constructor(
    identity: { readonly vmName: string; readonly dataCentre: string },
    private readonly writer: boundedWriter.BoundedWriter,
    private readonly clock: clocks.Clock,
  ) {
    const stream = {
      write: (record: object): void => {
        this.writer.push(`${JSON.stringify(record)}\n`, this.currentImportance);
      },
    };
    this.logger = bunyan.default.createLogger({
      name: "chiveferry",
      vm: identity.vmName,
      dataCentre: identity.dataCentre,
      streams: [{ type: "raw", level: "debug", stream }],
    });
    this.reportTimer = this.scheduleReport();
  }

  /** Logs a line at the level of its importance. */
  record(importance: types.Importance, event: types.LogEvent, fields: types.LogFields): void {
    this.currentImportance = importance;
    this.logger[LEVEL_BY_IMPORTANCE[importance]]({ event, ...fields }, event);
  }

  [Symbol.dispose](): void {
    this.reportTimer[Symbol.dispose]();
  }

  private scheduleReport(): Disposable {
    return this.clock.schedule(DROP_REPORT_INTERVAL_MS, () => {
      const droppedCount = this.writer.takeDroppedCount();
      if (droppedCount > 0) {
        this.record(types.Importance.StateChange, types.LogEvent.LinesDropped, { droppedCount });
      }
      this.reportTimer = this.scheduleReport();
    });
  }
}

/** A decision log that discards every line, for tests and tools. */
export const NOOP_DECISION_LOG: types.DecisionLog = { record: () => undefined };
