const MAX_PORT = 65_535;

/** Address and port at which a listed VM may receive heartbeats. */
export interface ListedEndpoint {
  readonly address: string;
  readonly port: number;
}

/**
 * Parses an address of the platform's list, in which the heartbeat port may follow a colon.
 *
 * @param defaultPort - the port to use if the address has none
 * @returns undefined if the IP address is empty or the port is none that can be sent to
 */
export function parseListedAddress(
  listedAddress: string,
  defaultPort: number,
): ListedEndpoint | undefined {
  const [address, portText] = listedAddress.split(":");
  const port = portText === undefined ? defaultPort : Number(portText);
  if (address === undefined || address === "") return undefined;
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort ? { address, port } : undefined;
}
