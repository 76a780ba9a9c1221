import * as crypto from "node:crypto";

/** One call as the service ran it. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly key: string | null;
  readonly bodyHash: string;
  readonly body: string;
  /** Position among all runs of the service, counted from 1. */
  readonly number: number;
}

const HASH_DIGITS = 12;

/**
 * A plain service that does what it is told each time it is told; it does not notice repetitions,
 * and counts what it ran so that they show.
 */
export class ServiceModel {
  readonly runs: ServiceRun[] = [];

  run(method: string, path: string, key: string | null, body: string): ServiceRun {
    const run: ServiceRun = {
      method: method.toUpperCase(),
      path,
      key,
      bodyHash: crypto.createHash("sha256").update(body).digest("hex").slice(0, HASH_DIGITS),
      body,
      number: this.runs.length + 1,
    };
    this.runs.push(run);
    return run;
  }

  /** The first run with the key, for status lookups. */
  findByKey(key: string): ServiceRun | undefined {
    return this.runs.find((run) => run.key === key);
  }

  /** How often each key and body was run, the most frequent first. */
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
