import * as net from "node:net";

import type * as types from "../../types.js";

/**
 * Returns how to open connections from an address of this machine, which may have several: peers know a VM by
 * one of them, and refuse tunnels to others. A host name, or one of another protocol, leaves the choice to the system.
 */
export function createDialFrom(ownHost: string): types.Dial {
  const ownFamily = net.isIP(ownHost);
  return ({ host, port }) => {
    const isUsable = ownFamily !== 0 && ownFamily === net.isIP(host);
    const local = isUsable ? { localAddress: ownHost } : {};
    return net.connect({ host, port, noDelay: true, allowHalfOpen: true, ...local });
  };
}
