import * as promClient from "prom-client";

/** Bucket bounds of the latency histograms; they cover the objectives of 0.1 to 1.8 s. */
const LATENCY_BUCKETS_S = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1, 1.5, 1.8, 2.5, 5, 10, 20, 40];

/** Most accounts that one gauge shows. */
const MAX_ACCOUNT_LABELS_COUNT = 20;

/** A value of one account. */
export interface AccountValue {
  readonly account: string;
  readonly value: number;
}

/** The metrics of the process, exported in the Prometheus text format. */
export class Meters {
  private readonly registry = new promClient.Registry();

  readonly requests = this.counter("requests_total", "Requests by how they ended.", [
    "kind",
    "outcome",
  ]);
  readonly refusals = this.counter("refusals_total", "Answers of the process's own.", ["reason"]);
  readonly unfinishedCalls = this.counter(
    "unfinished_calls_total",
    "Calls that the process could not finish before it stopped, by whether they came after the stop began.",
    ["kind", "arrival"],
  );
  readonly attempts = this.counter("attempts_total", "Attempts at backend servers.", [
    "service",
    "outcome",
  ]);
  readonly repeats = this.counter("repeats_total", "Repeats, and those the budget denied.", [
    "service",
    "decision",
  ]);
  readonly handovers = this.counter("handovers_total", "Runs carried to another engine.", [
    "way",
    "outcome",
  ]);
  readonly internalErrors = this.counter(
    "internal_errors_total",
    "Errors that no code expected, by what they have ended.",
    ["origin"],
  );
  readonly unreadableRecords = this.counter(
    "unreadable_records_total",
    "Records of the platform's store that cannot be used.",
    [],
  );
  readonly turnedAwayRecords = this.counter(
    "turned_away_records_total",
    "Records of further keys that were not kept, as their topic has its largest size.",
    ["topic"],
  );
  readonly refusedConnections = this.counter(
    "refused_connections_total",
    "Connections that were closed unserved, by the server that refused them.",
    ["server", "reason"],
  );
  readonly streamEnds = this.counter(
    "stream_ends_total",
    "Ends of engines' streams, by whether their heads say where they end.",
    ["framing", "end"],
  );
  readonly storeCalls = this.counter("store_calls_total", "Calls to the platform's store.", [
    "call",
    "outcome",
  ]);
  readonly firstByte = this.histogram(
    "first_byte_seconds",
    "Time from a request's arrival to the first byte of its answer.",
    ["kind"],
  );
  readonly queueWait = this.histogram(
    "queue_wait_seconds",
    "Time for which generations waited for room.",
    [],
  );
  readonly eventGap = this.histogram(
    "event_gap_seconds",
    "Pauses between two events of a stream.",
    [],
  );
  readonly loopDelay = this.histogram(
    "event_loop_delay_seconds",
    "How late the process's timers fire.",
    [],
  );

  /** Registers a gauge whose value is read each time that the metrics are fetched. */
  gauge(name: string, help: string, read: () => number): void {
    new promClient.Gauge({
      name: `chiveferry_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Registers a gauge with one value for each set of labels, read as above. */
  labelledGauge<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
    read: () => readonly { readonly labels: Readonly<Record<T, string>>; readonly value: number }[],
  ): void {
    new promClient.Gauge({
      name: `chiveferry_${name}`,
      help,
      labelNames,
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { labels, value } of read()) this.set(labels, value);
      },
    });
  }

  /**
   * Registers a gauge with a value for each account that is listed when the metrics are fetched; at most
   * `MAX_ACCOUNT_LABELS_COUNT` of them, so that the metrics stay small.
   */
  accountGauge(name: string, help: string, read: () => readonly AccountValue[]): void {
    new promClient.Gauge({
      name: `chiveferry_${name}`,
      help,
      labelNames: ["account"],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { account, value } of read().slice(0, MAX_ACCOUNT_LABELS_COUNT))
          this.set({ account }, value);
      },
    });
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private counter<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
  ): promClient.Counter<T> {
    const registers = [this.registry];
    return new promClient.Counter({ name: `chiveferry_${name}`, help, labelNames, registers });
  }

  private histogram<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
  ): promClient.Histogram<T> {
    return new promClient.Histogram({
      name: `chiveferry_${name}`,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_S,
      registers: [this.registry],
    });
  }
}
