import * as constants from "../../constants.js";

/**
 * Edges of the buckets in tokens, ascending from 0. Bucket i holds lengths in (edge i, edge i + 1].
 */
export const BUCKET_EDGES_TOKENS: readonly number[] = createEdges();

/** Count of buckets. */
export const BUCKETS_COUNT = BUCKET_EDGES_TOKENS.length - 1;

/** Length up to which the bucket is looked up in a table instead of by bisection. */
const TABLE_TOKENS = 4_096;

const INDEX_TABLE = createIndexTable();

/**
 * Finds the bucket of a length.
 *
 * @param tokens - a length; lengths past the last edge fall into the last bucket
 * @returns the index i with edge i < tokens <= edge i + 1
 */
export function bucketIndexOf(tokens: number): number {
  const length = Math.ceil(tokens);
  if (length <= 1) return 0;
  if (length <= TABLE_TOKENS) return INDEX_TABLE[length] ?? 0;
  return bisect(length);
}

function createEdges(): number[] {
  const edges = [0, 1];
  const ratio = 2 ** (1 / constants.BUCKETS_PER_OCTAVE);
  let edge = 1;
  while (edge < constants.MAX_LENGTH_TOKENS) {
    edge = Math.max(edge + 1, Math.round(edge * ratio));
    edges.push(Math.min(edge, constants.MAX_LENGTH_TOKENS));
  }
  return edges;
}

function createIndexTable(): Uint8Array {
  const table = new Uint8Array(TABLE_TOKENS + 1);
  for (let tokens = 2; tokens <= TABLE_TOKENS; tokens += 1) table[tokens] = bisect(tokens);
  return table;
}

function bisect(tokens: number): number {
  let low = 0;
  let high = BUCKETS_COUNT - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (tokens <= (BUCKET_EDGES_TOKENS[middle + 1] ?? 0)) high = middle;
    else low = middle + 1;
  }
  return low;
}
