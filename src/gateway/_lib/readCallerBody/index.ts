import type * as http from "node:http";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import type * as clocks from "../../../_lib/clock/index.js";
import * as relay from "../../../relay/index.js";
import type * as types from "../../types.js";

const { CallerBodies } = byteBudgets.ByteHolder;

/** Why a request is refused whose body was not received; none for one that was, or whose caller has gone. */
export const REFUSAL_BY_BODY_END: Readonly<Partial<Record<relay.BodyEnd, relay.RefusalReason>>> = {
  [relay.BodyEnd.TooLarge]: relay.RefusalReason.BodyTooLarge,
  [relay.BodyEnd.Evicted]: relay.RefusalReason.NoMemory,
  [relay.BodyEnd.Late]: relay.RefusalReason.TimedOutNotRun,
};

/** How a caller's body is read. */
export interface CallerBodyOptions {
  readonly requestId: string;
  readonly maxBytes: number;
  /** When the body is given up that is not complete, on this VM's monotonic clock. */
  readonly deadlineAtMs: number;
}

/**
 * Reads the body of a caller's request. It is counted until the answer has ended, as it may be sent again;
 * only a body that is not complete is given up, if too many bytes are held or at its deadline.
 */
export async function readCallerBody(
  { bytes, clock, log }: Pick<types.GatewayPorts, "bytes" | "clock" | "log">,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { requestId, maxBytes, deadlineAtMs }: CallerBodyOptions,
): Promise<relay.CollectedBody> {
  let sizeBytes = 0;
  const announcedBytes = relay.readAnnouncedBytes(request);
  const received = bytes.open({
    holder: CallerBodies,
    onEvicted: () => {
      reading.evict();
      relay.recordEviction(log, bytes, {
        holder: CallerBodies,
        requestId,
        serverId: null,
        sizeBytes,
      });
    },
  });
  const reading = new relay.BodyReading(request, {
    maxBytes,
    announcedBytes,
    isGathered: true,
    onBytes: (chunkBytes) => {
      sizeBytes += chunkBytes;
      const isLarge = sizeBytes > relay.MIN_GATHERED_BYTES;
      const neededBytes = isLarge ? Math.max(sizeBytes, announcedBytes) : sizeBytes;
      const hasRoom = bytes.hasRoomFor(neededBytes - received.sizeBytes);
      if (isLarge && !hasRoom) bytes.evict(received);
      else received.resize(neededBytes);
    },
  });
  const collected = await collectInTime(clock, reading, deadlineAtMs);
  received[Symbol.dispose]();
  if (collected.end !== relay.BodyEnd.Complete || response.closed) return collected;
  const kept = bytes.open({ holder: CallerBodies });
  response.once("close", () => kept[Symbol.dispose]());
  kept.grow(sizeBytes);
  return collected;
}

/** Waits for a body until its deadline, at which it is given up. */
async function collectInTime(
  clock: clocks.Clock,
  reading: relay.BodyReading,
  deadlineAtMs: number,
): Promise<relay.CollectedBody> {
  const timeLeftMs = Math.max(0, deadlineAtMs - clock.nowMs());
  const timer = clock.schedule(timeLeftMs, () => reading.stopLate());
  const collected = await reading.collected;
  timer[Symbol.dispose]();
  return collected;
}
