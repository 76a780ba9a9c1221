// A proxy in front of an engine. While it is cut, it holds all bytes and ends of channels back, in both directions,
// as a partition does: what a kernel has not got through is sent again when the partition is over.
import * as net from "node:net";

/** The channels between gateways and one engine. */
export class Proxy {
  isCut = false;
  healListeners = new Set();
  sockets = new Set();

  constructor(host, target) {
    this.host = host;
    this.target = target;
    this.server = net.createServer({ allowHalfOpen: true }, (near) => this.join(near));
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const resume of [...this.healListeners]) resume();
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async whenOpen() {
    while (this.isCut)
      await new Promise((resolve) => {
        const resume = () => {
          this.healListeners.delete(resume);
          resolve();
        };
        this.healListeners.add(resume);
      });
  }

  /** Joins a gateway's channel with a new one to the engine; one that is opened during a cut waits for its end. */
  async join(near) {
    this.follow(near);
    await this.whenOpen();
    const far = net.connect({ ...this.target(), allowHalfOpen: true, noDelay: true });
    this.follow(far);
    this.forward(near, far);
    this.forward(far, near);
  }

  follow(socket) {
    this.sockets.add(socket);
    socket.once("close", () => this.sockets.delete(socket));
    socket.on("error", () => undefined);
  }

  forward(from, to) {
    let queue = Promise.resolve();
    const inTurn = (step) => {
      queue = queue.then(() => this.whenOpen()).then(step);
    };
    from.on("data", (bytes) => inTurn(() => void to.write(bytes)));
    from.once("end", () => inTurn(() => void to.end()));
    from.once("error", () => inTurn(() => void (to.destroyed || to.resetAndDestroy())));
    from.once("close", () => inTurn(() => void to.end()));
  }
}
