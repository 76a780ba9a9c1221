import type * as http from "node:http";

import type * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as relay from "../../../relay/index.js";
import * as routing from "../../../routing/index.js";
import * as constants from "../../constants.js";
import type * as currentView from "../../currentView/index.js";
import type * as types from "../../types.js";
import * as headBytes from "../measureHeadBytes/index.js";
import type * as shutdownAdmissions from "../shutdownAdmission/index.js";

const { RefusalReason } = relay;

/** What an admitted call is served by. */
export interface Admission {
  readonly route: routing.Route;
  readonly account: routing.Account | null;
  readonly serviceName: string;
  readonly limits: routing.CallerLimits;
}

/** Why a call is refused. */
export interface Denial {
  readonly refusal: relay.Refusal;
  readonly detail: string;
}

/** Dependencies of the admission of a call after its head was received. */
export interface AdmissionContext {
  readonly settings: types.GatewaySettings;
  readonly ports: Pick<types.GatewayPorts, "bytes" | "random">;
  readonly view: currentView.CurrentView;
  readonly shutdown: shutdownAdmissions.ShutdownAdmission;
}

const RETRY_AFTER_MS: Readonly<Partial<Record<relay.RefusalReason, number>>> = {
  [RefusalReason.NoConfiguration]: constants.STALE_VIEW_RETRY_AFTER_MS,
  [RefusalReason.StaleConfiguration]: constants.STALE_VIEW_RETRY_AFTER_MS,
  [RefusalReason.NoMemory]: relay.DEFAULT_RETRY_AFTER_MS,
  [RefusalReason.Stopping]: relay.STOPPING_RETRY_AFTER_MS,
  [RefusalReason.NoServer]: relay.DEFAULT_RETRY_AFTER_MS,
};

/** Creates the refusal of a call, with the age of the view of the store where that decided. */
export function createDenial(reason: relay.RefusalReason, viewAgeMs: number | null = null): Denial {
  const detail = viewAgeMs === null ? "" : `view ${Math.round(Math.min(1e9, viewAgeMs))} ms old`;
  const retryAfterMs = RETRY_AFTER_MS[reason] ?? null;
  return { refusal: relay.createRefusal(reason, relay.Execution.NotRun, retryAfterMs), detail };
}

/**
 * Decides by its head whether a call is served: by the configuration in force, the age of what is known of it, the
 * memory that is left, and whether this VM stops.
 */
export function admitCall(
  context: AdmissionContext,
  request: http.IncomingMessage,
  head: relay.CallHead,
): Admission | Denial {
  const { view, ports, settings, shutdown } = context;
  const table = view.routingTable;
  if (table === null) return createDenial(RefusalReason.NoConfiguration, null);
  const { limits } = table.configuration;
  if (headBytes.measureHeadBytes(request) > limits.maxHeaderBytes) {
    return createDenial(RefusalReason.HeadersTooLarge, null);
  }
  const ageMs = view.configurationAgeMs;
  const isStale = ageMs > settings.configurationApplyMs;
  const route = routing.matchRoute(table, head.host, head.target);
  if (route === undefined) {
    return createDenial(isStale ? RefusalReason.StaleConfiguration : RefusalReason.NoRoute, ageMs);
  }
  const needsKey = table.configuration.accounts !== null && !route.isAnonymous;
  const account = head.apiKey === null ? undefined : table.accountsByKey.get(head.apiKey);
  if (needsKey) {
    const limitMs = settings.revocationMs - constants.REVOCATION_MARGIN_MS;
    if (ageMs > limitMs) return createDenial(RefusalReason.StaleConfiguration, ageMs);
    if (account === undefined) {
      return createDenial(
        isStale ? RefusalReason.StaleConfiguration : RefusalReason.UnknownKey,
        ageMs,
      );
    }
  }
  const announcedBytes = Number(request.headers["content-length"] ?? 0);
  if (announcedBytes > limits.maxBodyBytes) return createDenial(RefusalReason.BodyTooLarge, null);
  if (!hasMemory(ports.bytes, request, announcedBytes)) return createDenial(RefusalReason.NoMemory);
  if (shutdown.isTooLate(route)) return createDenial(RefusalReason.Stopping, null);
  const isResumed = route.kind === routing.RouteKind.Generation && head.lastEventId > 0;
  if (isResumed && !route.isResumable) return createDenial(RefusalReason.NotResumable, null);
  const serviceName = routing.selectService(route, ports.random);
  if (serviceName === undefined) return createDenial(RefusalReason.NoServer, null);
  return { route, account: account ?? null, serviceName, limits };
}

/** Whether there is memory for a call; one with a small body is refused only if there are too many calls. */
function hasMemory(
  bytes: byteBudgets.ByteBudget,
  { headers }: http.IncomingMessage,
  announcedBytes: number,
): boolean {
  const isSmall =
    headers["transfer-encoding"] === undefined && announcedBytes <= constants.SMALL_BODY_BYTES;
  return bytes.hasRoomForCalls && (isSmall || bytes.hasRoomFor(announcedBytes));
}
