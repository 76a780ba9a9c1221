import type * as hapi from "@hapi/hapi";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";

/** What a VM tells its operators, by path: a value that is answered as JSON. */
export type OperatorHandlers = Readonly<Record<string, (query: OperatorQuery) => unknown>>;

/** Parameters of an operator's question. */
export type OperatorQuery = Readonly<Record<string, unknown>>;

/** What an operators' question is answered from. */
export interface OperatorSources {
  readonly settings: Pick<types.GatewaySettings, "vmName" | "dataCentre">;
  readonly clock: clocks.Clock;
  readonly view: currentViews.CurrentView;
}

/** A VM's evacuated data centres, and the age of its view of them. */
export interface EvacuationsDescription {
  readonly vmName: string;
  readonly dataCentre: string;
  /** Time since the store confirmed the list; null if it never did. */
  readonly viewAgeMs: number | null;
  readonly evacuations: readonly {
    readonly dataCentre: string;
    /** When this VM learned of it, in ISO 8601. */
    readonly knownSince: string;
    readonly knownForMs: number;
  }[];
}

/** Creates the handlers of a VM's operators' interface. */
export function createOperatorHandlers(sources: OperatorSources): OperatorHandlers {
  return { "/evacuations": () => describeEvacuations(sources) };
}

/** Adds a route for each handler to the server on the operators' port, which callers do not reach. */
export function addOperatorRoutes(server: hapi.Server, handlers: OperatorHandlers): void {
  for (const [path, handle] of Object.entries(handlers)) {
    server.route({
      method: "GET",
      path,
      handler: ({ query }, toolkit) =>
        toolkit.response(JSON.stringify(handle(query))).type("application/json"),
    });
  }
}

function describeEvacuations({ settings, clock, view }: OperatorSources): EvacuationsDescription {
  const ageMs = view.configurationAgeMs;
  return {
    vmName: settings.vmName,
    dataCentre: settings.dataCentre,
    viewAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    evacuations: view.listEvacuations().map(({ dataCentre, knownSinceMs, knownSinceWallMs }) => ({
      dataCentre,
      knownSince: new Date(knownSinceWallMs).toISOString(),
      knownForMs: Math.round(clock.nowMs() - knownSinceMs),
    })),
  };
}
