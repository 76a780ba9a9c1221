import * as interToken from "./_lib/interToken/index.js";
import * as rates from "./_lib/rates/index.js";
import * as recovery from "./_lib/recovery/index.js";

/**
 * Measures and prints inter-token times, relay throughput and recovery time after each kind of
 * failure.
 */
export async function benchRelay(): Promise<void> {
  const print = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  print("time between tokens (32 streams, steps of 15 ms, peers over TCP on loopback, 3 rounds)");
  const times = await interToken.measureInterToken();
  const [direct] = times;
  for (const { path, p50Ms, p99Ms } of times) {
    const ratio = (p99Ms / (direct?.p99Ms ?? p99Ms)).toFixed(3);
    print(`  ${path}: p50 ${p50Ms.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms, p99 ratio ${ratio}`);
  }
  print("tokens per second of processor time, all daemons in one process (200 streams)");
  for (const { path, tokensPerCpuSecond } of await rates.measureRates()) {
    print(`  ${path}: ${tokensPerCpuSecond}`);
  }
  print("recovery, last token before a death to first after it (virtual clock, links of 1 ms)");
  for (const { failedRole, medianMs, maxMs, completeCount } of await recovery.measureRecovery()) {
    print(
      `  ${failedRole}: median ${medianMs.toFixed(1)} ms, longest ${maxMs.toFixed(1)} ms, ${completeCount} of 20 whole`,
    );
  }
}
