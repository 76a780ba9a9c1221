/** Where a listed VM may take heartbeats. */
export interface ListedEndpoint {
  readonly address: string;
  readonly port: number;
}

/**
 * Reads an address of the platform's list, which may carry the heartbeat port after a colon.
 *
 * @param defaultPort - the port where the address carries none
 * @returns undefined for an address without a usable IP address or port
 */
export function parseListedAddress(
  listedAddress: string,
  defaultPort: number,
): ListedEndpoint | undefined {
  const [address, portText] = listedAddress.split(":");
  const port = portText === undefined ? defaultPort : Number(portText);
  if (address === undefined || address === "") return undefined;
  return Number.isInteger(port) && port > 0 ? { address, port } : undefined;
}
