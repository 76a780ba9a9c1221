import * as crypto from "node:crypto";

import * as types from "../types.js";

/** Longest key that is used as it is; longer ones are hashed. */
const MAX_PLAIN_KEY_CHARS = 128;

/** The service that an attempt is sent to, and all services among which its route divides requests. */
export interface AttemptedServices {
  readonly serviceName: string;
  readonly routeServiceNames: readonly string[];
}

/**
 * Lists what an attempt may have in common with others that made a server crash: the request and the
 * parts of its prompt. The last part is omitted, since no other request shares it. Crashes are counted twice:
 * for the service alone, since a request may crash the servers of one service only, and for all services
 * of the route together, so that a request is stopped before it has crashed servers of each.
 *
 * @param fingerprint - equal for all attempts of the request
 * @param promptPartIds - ids of the parts of the prompt, in order; empty for other requests
 */
export function listSuspects(
  { serviceName, routeServiceNames }: AttemptedServices,
  fingerprint: string,
  promptPartIds: readonly string[],
): readonly types.Suspect[] {
  const partIds = new Set(promptPartIds.slice(0, -1));
  const routeScopes = createRouteScopes(routeServiceNames);
  const createSuspects = (kind: types.SuspectKind, id: string): readonly types.Suspect[] =>
    [...routeScopes, serviceName].map((scope) => ({ kind, key: shorten(`${scope}/${id}`) }));
  return [
    ...createSuspects(types.SuspectKind.Request, fingerprint),
    ...[...partIds].flatMap((id) => createSuspects(types.SuspectKind.PromptPart, id)),
  ];
}

/** Names all services of a route as one; none if there are not several. */
function createRouteScopes(serviceNames: readonly string[]): readonly string[] {
  const names = [...new Set(serviceNames)].sort();
  return names.length > 1 ? [JSON.stringify(names)] : [];
}

function shorten(key: string): string {
  if (key.length <= MAX_PLAIN_KEY_CHARS) return key;
  return crypto.createHash("sha256").update(key).digest("base64url");
}
