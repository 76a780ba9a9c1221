import * as crashes from "../../../crashes/index.js";
import type * as datagrams from "../datagrams/index.js";

/** Kinds of suspects by their index in messages. */
const KINDS: readonly crashes.SuspectKind[] = [
  crashes.SuspectKind.PromptPart,
  crashes.SuspectKind.Request,
];

/** Encodes a report for a message. */
export function encodeSuspect(report: crashes.SuspectReport): datagrams.EncodedSuspect {
  const { kind, key, clearedAgeMs, trialAgeMs } = report;
  const ends = report.ends.map((end): datagrams.EncodedSuspect[4][number] => {
    return [end.serverId, end.bornAtWallMs, end.vmName, end.ageMs, end.ranMs];
  });
  return [KINDS.indexOf(kind), key, clearedAgeMs, trialAgeMs, ends];
}

/** Decodes the reports of a message; omits those of a kind that this release does not know. */
export function decodeSuspects(
  encoded: readonly datagrams.EncodedSuspect[],
): readonly crashes.SuspectReport[] {
  return encoded.flatMap(([kindIndex, key, clearedAgeMs, trialAgeMs, ends]) => {
    const kind = KINDS[kindIndex];
    if (kind === undefined) return [];
    const decodedEnds = ends.map(([serverId, bornAtWallMs, vmName, ageMs, ranMs]) => {
      return { serverId, bornAtWallMs, vmName, ageMs, ranMs };
    });
    return [{ kind, key, clearedAgeMs, trialAgeMs, ends: decodedEnds }];
  });
}
