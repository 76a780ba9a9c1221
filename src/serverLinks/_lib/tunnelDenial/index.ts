import { TunnelRefusal } from "../../types.js";

/** Why a tunnel is not opened, as an HTTP status line. */
export enum TunnelDenial {
  Malformed = "400 Bad Request",
  /** The sender is no live VM of the fleet. */
  UnknownVm = "403 Forbidden",
  /** This VM does not know the start of the server, or knows it at another address. */
  UnknownServer = "404 Not Found",
  /** The server leaves, or wants no request of this VM. */
  UnavailableServer = "409 Conflict",
  /** This VM has no place at the server to lend. */
  NoPlace = "429 Too Many Requests",
  /** This VM is cut off from the servers itself. */
  CutOff = "502 Bad Gateway",
  /** The server does not accept a connection of this VM. */
  ServerUnreachable = "504 Gateway Timeout",
  /** This VM is stopping, or serves as many tunnels as it can. */
  Overloaded = "503 Service Unavailable",
}

/** The class of refusal that each denial is to the VM that asked. */
export const REFUSAL_BY_DENIAL: Readonly<Record<TunnelDenial, TunnelRefusal>> = {
  [TunnelDenial.Malformed]: TunnelRefusal.PeerUnavailable,
  [TunnelDenial.UnknownVm]: TunnelRefusal.PeerUnavailable,
  [TunnelDenial.UnknownServer]: TunnelRefusal.ServerUnavailable,
  [TunnelDenial.UnavailableServer]: TunnelRefusal.ServerUnavailable,
  [TunnelDenial.NoPlace]: TunnelRefusal.ServerUnavailable,
  [TunnelDenial.CutOff]: TunnelRefusal.PeerCutOff,
  [TunnelDenial.ServerUnreachable]: TunnelRefusal.ServerUnreachable,
  [TunnelDenial.Overloaded]: TunnelRefusal.PeerUnavailable,
};

/** Classifies the HTTP status of a refused tunnel; an unknown status counts as a fault of the peer. */
export function refusalOfStatus(statusCode: number): TunnelRefusal {
  const denial = Object.values(TunnelDenial).find((line) => line.startsWith(`${statusCode} `));
  return denial === undefined ? TunnelRefusal.PeerUnavailable : REFUSAL_BY_DENIAL[denial];
}
