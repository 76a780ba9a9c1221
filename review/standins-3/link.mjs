// The link between the machines and one engine. While it is cut, what either side sends is held up, the end of
// a channel too, and new channels do not open; when it heals, what was held up arrives, as TCP sends it again.
import * as net from "node:net";

export class Link {
  #isCut = false;
  #held = [];
  #sockets = new Set();
  #server = net.createServer({ allowHalfOpen: true, pauseOnConnect: true }, (near) =>
    this.#accept(near),
  );

  constructor(target) {
    this.target = target;
  }

  async start(host) {
    this.host = host;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.port = this.#server.address().port;
    return this;
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const deliver of this.#held.splice(0)) deliver();
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Does something now, or when the link heals. */
  #pass(deliver) {
    if (this.#isCut) this.#held.push(deliver);
    else deliver();
  }

  #accept(near) {
    this.#follow(near);
    this.#pass(() => {
      if (near.destroyed) return;
      const far = net.connect({ ...this.target, allowHalfOpen: true });
      this.#follow(far);
      this.#splice(near, far);
      this.#splice(far, near);
      near.resume();
    });
  }

  #splice(from, to) {
    from.on("data", (bytes) => this.#pass(() => to.write(bytes)));
    from.once("end", () => this.#pass(() => to.end()));
    from.once("error", () => this.#pass(() => to.resetAndDestroy()));
  }

  #follow(socket) {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.#sockets.delete(socket));
  }
}
