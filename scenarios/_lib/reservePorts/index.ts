import * as net from "node:net";

const LOOPBACK = "127.0.0.1";

/** Free TCP ports of loopback, each different. */
export async function reservePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listen()));
  const ports = servers.map((server) => portOf(server));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function listen(): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

function portOf(server: net.Server): number {
  const address = server.address();
  if (typeof address === "object" && address !== null) return address.port;
  throw new Error("the server has no port");
}
