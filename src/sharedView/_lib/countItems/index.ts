/** Bytes that follow the first byte of an item, for items without further content. */
const FIXED_BYTES: Readonly<Partial<Record<number, number>>> = {
  0xc0: 0,
  0xc2: 0,
  0xc3: 0,
  0xca: 4,
  0xcb: 8,
  0xcc: 1,
  0xcd: 2,
  0xce: 4,
  0xcf: 8,
  0xd0: 1,
  0xd1: 2,
  0xd2: 4,
  0xd3: 8,
  // Heads of arrays and maps, whose items follow.
  0xdc: 2,
  0xdd: 4,
  0xde: 2,
  0xdf: 4,
};

/** Bytes of the length of strings and binary values. */
const LENGTH_BYTES: Readonly<Partial<Record<number, number>>> = {
  0xc4: 1,
  0xc5: 2,
  0xc6: 4,
  0xd9: 1,
  0xda: 2,
  0xdb: 4,
};

/**
 * Counts the items of MessagePack data without creating them, as decoded items may take forty times the memory of
 * their bytes.
 *
 * @param maxCount - items after which the count ends
 * @returns the number of items, or null if there are more, or data of a kind that VMs do not send
 */
export function countItems(bytes: Buffer, maxCount: number): number | null {
  let itemsCount = 0;
  for (let position = 0; position < bytes.length; itemsCount += 1) {
    const sizeBytes = measureItem(bytes, position);
    if (sizeBytes === null || itemsCount === maxCount) return null;
    position += sizeBytes;
  }
  return itemsCount;
}

/** Returns the size of an item, without the items of an array or a map. */
function measureItem(bytes: Buffer, position: number): number | null {
  const type = bytes[position] ?? 0;
  const isShortString = type >= 0xa0 && type <= 0xbf;
  if (isShortString) return 1 + (type & 0x1f);
  // Small integers, and heads of short arrays and maps.
  if (type <= 0x9f || type >= 0xe0) return 1;
  const fixedBytes = FIXED_BYTES[type];
  if (fixedBytes !== undefined) return 1 + fixedBytes;
  const lengthBytes = LENGTH_BYTES[type];
  if (lengthBytes === undefined || position + 1 + lengthBytes > bytes.length) return null;
  return 1 + lengthBytes + bytes.readUIntBE(position + 1, lengthBytes);
}
