// Runs a case: writes record.txt beside its script, ends all processes, and sets the exit status:
// 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import * as fs from "node:fs";
import * as path from "node:path";

import { Gateway, loopbackHost, pickPorts, temporaryFolder } from "./gateway.mjs";
import { EngineProcess } from "./engine-process.mjs";
import { Engine } from "./engine.mjs";
import { Store } from "./store.mjs";

const LIMIT_MS = 110_000;

/** Whether the case brings about its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a case.
 *
 * @param folder - the case's folder, in which record.txt is written
 * @param body - gets the parts of a deployment, and returns the breaches of the rule as texts
 */
export async function runCase(folder, body) {
  const startedAtMs = Date.now();
  const lines = [];
  const record = (who, what, fields) => {
    const at = ((Date.now() - startedAtMs) / 1_000).toFixed(3).padStart(8);
    lines.push(`${at} s  ${who.padEnd(8)}${what}  ${JSON.stringify(fields)}`);
  };
  const parts = [];
  const temporary = temporaryFolder();
  const ports = await pickPorts(loopbackHost(1));
  const store = new Store(record);
  const deployment = {
    record,
    store,
    host: loopbackHost,
    addEngine: async (options) => {
      const engine = new Engine({ store, record, host: loopbackHost(100), ...options });
      parts.push(engine);
      await engine.start();
      return engine;
    },
    addEngineProcess: async (options) => {
      const engine = new EngineProcess({ store, record, host: loopbackHost(100), ...options });
      parts.push(engine);
      await engine.start();
      return engine;
    },
    addGateway: (options) => {
      const gateway = new Gateway({ store, record, ports, folder: temporary, ...options });
      parts.push(gateway);
      gateway.start();
      return gateway;
    },
    configure: (configuration) => store.put("keyed.op", "config", configuration),
  };
  let status = 2;
  const limit = setTimeout(() => void finish("the case took too long"), LIMIT_MS);
  const finish = async (note) => {
    clearTimeout(limit);
    record("case", note, { exitStatus: status });
    for (const part of parts) await part.stop();
    store.stop();
    fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
    if (process.env.KEEP === undefined) fs.rmSync(temporary, { recursive: true, force: true });
    else process.stdout.write(`${temporary}\n`);
    process.exit(status);
  };
  record("case", hasTrouble ? "with the disruption" : "without the disruption", {});
  try {
    await store.start(loopbackHost(200));
    const breaches = await body(deployment);
    for (const breach of breaches) process.stdout.write(`${breach}\n`);
    for (const breach of breaches) record("case", "RULE BROKEN", { breach });
    status = breaches.length > 0 ? 1 : 0;
    await finish(breaches.length > 0 ? "the rule was broken" : "the rule held");
  } catch (error) {
    process.stdout.write(`could not run: ${error.stack}\n`);
    await finish(`could not run: ${error.message}`);
  }
}

/** A desired state with the given routes and services, and limits as in the users' examples. */
export function configurationOf({ version = 1, routes, services, tenants = null }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: "app.example",
      timeout_ms: 6000,
      target_latency_ms: 1500,
      priority: 0,
      max_attempts: 1,
      anonymous: false,
      resumable: false,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/healthz",
      max_connections: 252,
      protocol: "h1",
      tls: false,
      ...service,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    ...(tenants === null ? {} : { tenants }),
  };
}

/** What a desired state says of the model engines of the users' example. */
export const ENGINE_TRAITS = {
  slots: 24,
  kv_capacity_tokens: 34395,
  kv_bytes: 163840,
  link_mbps: 24000.0,
  moves: true,
  backups: true,
  stride: 4,
  handle_ttl_s: 5.0,
  models: [{ name: "m" }],
};
