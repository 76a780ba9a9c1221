import type * as net from "node:net";

import * as resetSockets from "../../../_lib/resetSocket/index.js";
import * as constants from "../../constants.js";
import type * as tunnelServers from "../../tunnelServer/index.js";
import type * as types from "../../types.js";

/** A tunnel with a place at its server that is lent to the peer. */
export interface LoanedTunnel extends types.PlaceLoan {
  readonly place: tunnelServers.LentPlace;
  readonly borrower: net.Socket;
  readonly server: net.Socket;
}

/**
 * Ends the loan of a place with its tunnel. The tunnel is reset if the peer sends nothing on it, as one that is
 * frozen or cut off does, and when it needs the place no longer by what it has said.
 */
export function boundLoan({ place, borrower, server, forMs }: LoanedTunnel): void {
  let hasSent = false;
  let isAnswered = false;
  const reset = (): void => {
    resetSockets.resetSocket(server);
    resetSockets.resetSocket(borrower);
  };
  const unused = setTimeout(reset, constants.TUNNEL_TIMEOUT_MS);
  const overdue = setTimeout(reset, forMs);
  borrower.once("data", () => {
    hasSent = true;
    clearTimeout(unused);
  });
  server.once("data", () => {
    isAnswered = true;
  });
  let isOpen = true;
  const end = (): void => {
    clearTimeout(unused);
    clearTimeout(overdue);
    if (isOpen) place.end(hasSent && !isAnswered);
    isOpen = false;
  };
  server.once("close", end);
  if (borrower.destroyed) end();
  else borrower.once("close", end);
}
