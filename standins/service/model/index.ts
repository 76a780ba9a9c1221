import * as crypto from "node:crypto";

/** One execution of a call by the service. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly key: string | null;
  readonly bodyHash: string;
  readonly body: string;
  /** Position among all executions by the service, counted from 1. */
  readonly number: number;
}

const HASH_DIGITS_COUNT = 12;

/**
 * Simulates a plain service that executes every call without detecting repeats, and records the
 * executions so that tests can find repeats.
 */
export class ServiceModel {
  readonly runs: ServiceRun[] = [];

  /** Executes a call and records it. */
  run(method: string, path: string, key: string | null, body: string): ServiceRun {
    const run: ServiceRun = {
      method: method.toUpperCase(),
      path,
      key,
      bodyHash: crypto.createHash("sha256").update(body).digest("hex").slice(0, HASH_DIGITS_COUNT),
      body,
      number: this.runs.length + 1,
    };
    this.runs.push(run);
    return run;
  }

  /** Finds the first execution with the key, for status look-ups. */
  findByKey(key: string): ServiceRun | undefined {
    return this.runs.find((run) => run.key === key);
  }

  /** Counts the executions of each method, path, key and body, the most frequent first. */
  countRuns(): readonly { readonly run: ServiceRun; readonly count: number }[] {
    const counts = new Map<string, { run: ServiceRun; count: number }>();
    for (const run of this.runs) {
      const identity = JSON.stringify([run.method, run.path, run.key, run.bodyHash]);
      const known = counts.get(identity);
      counts.set(identity, { run: known?.run ?? run, count: (known?.count ?? 0) + 1 });
    }
    return [...counts.values()].sort((left, right) => right.count - left.count);
  }
}
