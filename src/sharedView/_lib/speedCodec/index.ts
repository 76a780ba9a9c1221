import type * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

/** Logarithms are sent in thousandths, as whole numbers take fewer bytes. */
const LOG_SCALE = 1_000;

/** Encodes what this VM has observed of an engine's speed. */
export function encodeSpeed(statement: dispatch.SpeedStatement): datagrams.EncodedSpeed {
  return [
    statement.serverId,
    statement.bornAtWallMs,
    Math.round(LOG_SCALE * statement.readingLog),
    Math.round(LOG_SCALE * statement.writingLog),
    Math.round(statement.readingWeightMs),
    Math.round(statement.writingWeightMs),
    Math.round(statement.pauseMs),
    Math.round(statement.ageMs),
  ];
}

/** Decodes what a peer has observed of an engine's speed. */
export function decodeSpeed(encoded: datagrams.EncodedSpeed): dispatch.SpeedStatement {
  const [serverId, bornAtWallMs, reading, writing, ...rest] = encoded;
  const [readingWeightMs, writingWeightMs, pauseMs, ageMs] = rest;
  return {
    serverId,
    bornAtWallMs,
    readingLog: reading / LOG_SCALE,
    writingLog: writing / LOG_SCALE,
    readingWeightMs,
    writingWeightMs,
    pauseMs,
    ageMs,
  };
}
