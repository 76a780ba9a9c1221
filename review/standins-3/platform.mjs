// What the operator and the engines write to the store, and a small deployment of gateways on it.
import * as callers from "./callers.mjs";
import * as gateways from "./gateway.mjs";
import * as stores from "./store.mjs";

const BEAT_MS = 1200;
const READY_TIMEOUT_MS = 15_000;

const LIMITS = {
  ...{ max_header_bytes: 16384, max_body_bytes: 4194304 },
  ...{ header_timeout_ms: 3000, idle_timeout_ms: 15000 },
};

/** Services of varahoidja-tln, with names as on the users' page. */
export const MODEL_SERVICE = {
  ...{ name: "huvo11a", health_path: "/healthz", max_connections: 242, protocol: "h1", tls: false },
  engine: {
    ...{ slots: 24, kv_capacity_tokens: 34226, kv_bytes: 163840, link_mbps: 24000, moves: true },
    ...{ backups: true, stride: 4, most: 12, pin_ms: 4000, hold_ms: 2000, handle_ttl_s: 5 },
    models: [{ name: "m" }],
  },
};
export const PLAIN_SERVICE = {
  ...{ name: "wuno96b", health_path: "/healthz", max_connections: 100, protocol: "h1", tls: false },
};

const ROUTE = { host: callers.HOST, priority: 1, anonymous: false };

export const STREAM_ROUTE = {
  ...{ ...ROUTE, name: "asset-report", path_prefix: "/lohu930/", kind: "streaming" },
  ...{ timeout_ms: 39000, target_latency_ms: 1800, target_gap_ms: 180, service: "huvo11a" },
  ...{ max_attempts: 1, sticky: true, resumable: false },
};
export const ONCE_ROUTE = {
  ...{ ...ROUTE, name: "tag-register", path_prefix: "/pule252/", kind: "non_idempotent" },
  ...{ timeout_ms: 1000, target_latency_ms: 121, service: "wuno96b", max_attempts: 1 },
};

export function createConfiguration(
  version,
  routes = [STREAM_ROUTE, ONCE_ROUTE],
  services = [MODEL_SERVICE, PLAIN_SERVICE],
) {
  return {
    ...{ version, routes, services, limits: LIMITS },
    tenants: [{ name: "huka270", api_keys: [callers.API_KEY], priority: 1 }],
  };
}

/** Starts a store with a first desired state, and gateways in the three zones. */
export async function startDeployment({ folder, onEnd }, gatewaysCount, options = {}) {
  const store = await new stores.Store().start();
  onEnd(() => store.stop());
  store.put("keyed.op", "config", createConfiguration(1));
  const network = await gateways.chooseNetwork(gatewaysCount);
  const zones = ["tln-a", "tln-b", "mrd-c"];
  const fleet = Array.from({ length: gatewaysCount }, (_, index) => {
    const zone = zones[index % zones.length];
    return new gateways.Gateway(index, network, { store, folder, zone, ...options });
  });
  for (const gateway of fleet) onEnd(() => gateway.kill());
  await Promise.all(fleet.map((gateway) => gateway.start()));
  return { store, fleet };
}

/** Waits until all gateways are ready. */
export async function awaitFleet(fleet) {
  const ready = await Promise.all(fleet.map((gateway) => gateway.awaitReady(READY_TIMEOUT_MS)));
  if (!ready.every(Boolean)) throw new Error("a gateway did not become ready");
}

/** The entry of one engine in the store, written again at each heartbeat while the engine lives. */
export class ServerEntry {
  #sequence = 0;
  #timer = null;

  constructor(store, id, fields) {
    Object.assign(this, { store, id, fields });
  }

  /** Begins a new incarnation. */
  begin() {
    this.end();
    this.#sequence = 0;
    this.born = Date.now();
    this.#write();
    this.#timer = setInterval(() => this.#write(), BEAT_MS);
  }

  /** Reports that the engine leaves, and goes on writing so. */
  drain() {
    this.fields = { ...this.fields, state: "draining" };
    this.#write();
  }

  /** Stops writing, as an engine that crashes does. */
  end() {
    clearInterval(this.#timer);
  }

  #write() {
    this.#sequence += 1;
    this.store.put("keyed.servers", this.id, {
      ...{ version: "v1", slots: 24, state: "ready", cold_remaining_ms: 0, phase: "combined" },
      ...{ models: [{ name: "m", version: 1, adapters: [] }], ...this.fields },
      ...{ sequence: this.#sequence, born: this.born },
    });
  }
}
