import * as diagnostics from "../../../diagnostics/index.js";
import type * as currentViews from "../../currentView/index.js";

const { Importance, LogEvent } = diagnostics;

/** Logs a change of a gateway's readiness, with what it depends on. */
export function recordReadiness(
  log: diagnostics.DecisionLog,
  view: currentViews.CurrentView,
  state: { readonly isReady: boolean; readonly isStopping: boolean },
): void {
  log.record(Importance.StateChange, LogEvent.ReadinessChanged, {
    ...state,
    isViewComplete: view.isComplete,
    configurationAgeMs: Math.round(Math.min(1e9, view.configurationAgeMs)),
  });
}
