import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as datagrams from "../datagrams/index.js";

/**
 * Encodes records as datagrams with consecutive offset ranges, halving a batch until each part
 * fits.
 *
 * @returns null if a single record does not fit a datagram
 */
export function encodeRecordParts(
  vmName: string,
  topic: types.Topic,
  fromOffset: number,
  batch: types.RecordBatch,
): readonly Buffer[] | null {
  const encode = (from: number, end: number, records: readonly types.ViewRecord[]): Buffer =>
    datagrams.encodeDatagram({
      kind: datagrams.DatagramKind.Records,
      vmName,
      topic: types.TOPICS.indexOf(topic),
      epoch: batch.epoch,
      fromOffset: from,
      endOffset: end,
      records: records.map(({ key, offset, value }) => [key, offset, value]),
    });
  const whole = encode(fromOffset, batch.endOffset, batch.records);
  if (whole.length <= constants.MAX_DATAGRAM_BYTES) return [whole];
  if (batch.records.length < 2) return null;
  const middle = Math.ceil(batch.records.length / 2);
  const [left, right] = [batch.records.slice(0, middle), batch.records.slice(middle)];
  const middleOffset = right[0]?.offset ?? batch.endOffset;
  const encodeHalf = (
    from: number,
    records: readonly types.ViewRecord[],
    endOffset: number,
  ): readonly Buffer[] | null =>
    encodeRecordParts(vmName, topic, from, { ...batch, records, endOffset });
  const leftParts = encodeHalf(fromOffset, left, middleOffset);
  const rightParts = encodeHalf(middleOffset, right, batch.endOffset);
  return leftParts === null || rightParts === null ? null : [...leftParts, ...rightParts];
}
