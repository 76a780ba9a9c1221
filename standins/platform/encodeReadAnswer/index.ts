const OFFSET_BYTES = 8;

/** The range of a partition that an answer to a read states. */
export interface RetainedRange {
  /** The offset after the last record. */
  readonly endOffset: number;
  /** The lowest offset whose record is retained; 0 if omitted. */
  readonly firstOffset?: number;
}

/** Encodes what an answer of the platform's log to a read begins with; the records follow it. */
export function encodeReadHead({ endOffset, firstOffset = 0 }: RetainedRange): Buffer {
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(BigInt(endOffset), 0);
  head.writeBigUInt64BE(BigInt(firstOffset), OFFSET_BYTES);
  return head;
}

/** Most bytes of records in one answer. */
const MAX_ANSWER_BYTES = 1_024 * 1_024;

/** Encodes an answer of the platform's log to a read, with as many of the records as one answer holds. */
export function encodeReadAnswer(range: RetainedRange, contents: readonly Uint8Array[]): Buffer {
  const parts: Uint8Array[] = [encodeReadHead(range)];
  let sizeBytes = 0;
  for (const content of contents) {
    if (sizeBytes > 0 && sizeBytes + content.length > MAX_ANSWER_BYTES) break;
    sizeBytes += content.length;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    parts.push(length, content);
  }
  return Buffer.concat(parts);
}
