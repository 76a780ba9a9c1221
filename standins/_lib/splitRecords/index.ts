/** Splits the body of an append into records, each of which is preceded by its length. */
export function splitRecords(body: Buffer): readonly Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const endAt = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, endAt));
    at = endAt;
  }
  return records;
}
