import type * as http from "node:http";

import * as neverthrow from "neverthrow";
import * as zod from "zod";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";

const HEADERS = {
  vmName: "x-vm-name",
  serverId: "x-server-id",
  bornAtWallMs: "x-server-born",
  requestId: "x-request-id",
  loanWaitMs: "x-loan-wait-ms",
  /** How long the place is needed at most. */
  loanForMs: "x-loan-for-ms",
  /** In the answer: the tunnel holds a place that the peer has lent; earlier releases lend none. */
  isLoan: "x-loan",
  /** In a refusal: a VM through which the peer itself reaches servers. */
  reachingVm: "x-reaching-vm",
  /** In a refusal: whether the server's address has refused the peer's connection. */
  serverRefuses: "x-server-refuses",
} as const;

const MAX_PORT = 65_535;

const name = zod.string().min(1).max(200);

const tunnelHeaders = zod.object({
  [HEADERS.vmName]: name,
  [HEADERS.serverId]: name,
  [HEADERS.bornAtWallMs]: zod.coerce.number(),
  [HEADERS.requestId]: zod.string().max(200).default(""),
  [HEADERS.loanWaitMs]: zod.coerce.number().min(0).max(constants.MAX_LOAN_WAIT_MS).optional(),
  [HEADERS.loanForMs]: zod.coerce.number().min(0).catch(0),
});

/** A tunnel request and the VM that sent it. */
export interface ReceivedTunnelRequest extends types.TunnelRequest {
  readonly vmName: string;
}

/** Encodes the headers of a CONNECT request. */
export function encodeHeaders(
  vmName: string,
  { server, requestId, loan = null }: types.TunnelRequest,
): http.OutgoingHttpHeaders {
  return {
    [HEADERS.vmName]: vmName,
    [HEADERS.serverId]: server.id,
    [HEADERS.bornAtWallMs]: String(server.bornAtWallMs),
    [HEADERS.requestId]: requestId,
    ...(loan === null
      ? {}
      : { [HEADERS.loanWaitMs]: String(loan.waitMs), [HEADERS.loanForMs]: String(loan.forMs) }),
  };
}

/** Returns the target of a CONNECT request, as host:port. */
export function encodeTarget({ host, port }: types.Address): string {
  return `${host}:${port}`;
}

/** Decodes a CONNECT request; the error describes the fault. */
export function decodeTunnelRequest(
  message: Pick<http.IncomingMessage, "url" | "headers">,
): neverthrow.Result<ReceivedTunnelRequest, string> {
  const target = /^(.+):(\d{1,5})$/.exec(message.url ?? "");
  const port = Number(target?.[2] ?? 0);
  if (target === null || port < 1 || port > MAX_PORT)
    return neverthrow.err(`target ${message.url ?? ""} is not host:port`);
  const parsed = tunnelHeaders.safeParse(message.headers);
  if (!parsed.success) return neverthrow.err(parsed.error.issues[0]?.message ?? "headers");
  const { data } = parsed;
  const waitMs = data[HEADERS.loanWaitMs];
  const forMs = Math.min(data[HEADERS.loanForMs], constants.MAX_LOAN_MS);
  return neverthrow.ok({
    vmName: data[HEADERS.vmName],
    requestId: data[HEADERS.requestId],
    loan: waitMs === undefined ? null : { waitMs, forMs },
    server: {
      id: data[HEADERS.serverId],
      bornAtWallMs: data[HEADERS.bornAtWallMs],
      host: target[1] ?? "",
      port,
    },
  });
}

/** Encodes the answer that a tunnel is open. */
export function encodeAcceptance(isLoan: boolean): string {
  const lines = [
    "HTTP/1.1 200 Connection Established",
    ...(isLoan ? [`${HEADERS.isLoan}: 1`] : []),
  ];
  return [...lines, "", ""].join("\r\n");
}

/** Whether the answer to a tunnel request says that it holds a place that the peer has lent. */
export function isLoan({ headers }: Pick<http.IncomingMessage, "headers">): boolean {
  return headers[HEADERS.isLoan] === "1";
}

/** What the refusal of a tunnel says besides its status. */
export interface RefusalDetails {
  /** The VM to ask instead; null if none is known. */
  readonly reachingVm: string | null;
  /** Whether the server's address has refused the connection of the VM that was asked. */
  readonly doesServerRefuse: boolean;
}

/** Encodes the refusal of a tunnel. */
export function encodeRefusal(
  statusLine: string,
  { reachingVm, doesServerRefuse }: RefusalDetails,
): string {
  const referral = reachingVm === null ? [] : [`${HEADERS.reachingVm}: ${reachingVm}`];
  const evidence = doesServerRefuse ? [`${HEADERS.serverRefuses}: 1`] : [];
  const headers = ["Connection: close", "Content-Length: 0", ...referral, ...evidence];
  return [`HTTP/1.1 ${statusLine}`, ...headers, "", ""].join("\r\n");
}

/** Whether a refusal says that the server's address has refused the peer's connection. */
export function decodeServerRefuses({ headers }: Pick<http.IncomingMessage, "headers">): boolean {
  return headers[HEADERS.serverRefuses] === "1";
}

/** Decodes the VM that a refusal names; null if it names none. */
export function decodeReferral({ headers }: Pick<http.IncomingMessage, "headers">): string | null {
  const parsed = name.safeParse(headers[HEADERS.reachingVm]);
  return parsed.success ? parsed.data : null;
}
