/** Number of rows, and of buckets per row. */
const FANOUT = 64;
const BUCKETS_COUNT = FANOUT * FANOUT;
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

type Bucket<V> = ReadonlyMap<string, V>;
type Row<V> = readonly (Bucket<V> | undefined)[];

/**
 * An immutable map with string keys. A change copies two arrays of at most 64 items and one bucket,
 * so its cost grows with size / 4096. Older versions stay valid for concurrent readers.
 */
export class PersistentMap<V> implements ReadonlyMap<string, V> {
  private constructor(
    private readonly rows: readonly (Row<V> | undefined)[],
    readonly size: number,
  ) {}

  /** Creates an empty map. */
  static empty<V>(): PersistentMap<V> {
    return new PersistentMap<V>([], 0);
  }

  /** Creates a map from entries without intermediate versions; a later entry replaces an earlier one. */
  static from<V>(entries: Iterable<readonly [string, V]>): PersistentMap<V> {
    const rows: (Map<string, V> | undefined)[][] = [];
    let size = 0;
    for (const [key, value] of entries) {
      const position = locateBucket(key);
      const row = (rows[position.row] ??= []);
      const bucket = (row[position.column] ??= new Map<string, V>());
      if (!bucket.has(key)) size += 1;
      bucket.set(key, value);
    }
    return new PersistentMap<V>(rows, size);
  }

  get(key: string): V | undefined {
    return this.findBucket(key)?.get(key);
  }

  has(key: string): boolean {
    return this.findBucket(key)?.has(key) ?? false;
  }

  /** Returns a version of this map with one entry added or replaced. */
  with(key: string, value: V): PersistentMap<V> {
    const bucket = new Map(this.findBucket(key));
    bucket.set(key, value);
    return this.withBucket(key, bucket);
  }

  /** Returns a version of this map without the key. */
  without(key: string): PersistentMap<V> {
    if (!this.has(key)) return this;
    const bucket = new Map(this.findBucket(key));
    bucket.delete(key);
    return this.withBucket(key, bucket);
  }

  /**
   * Returns the keys of one of the map's 64 slices, so that a full scan can be split over time.
   *
   * @param slice - number of the slice, taken modulo 64
   */
  keysOfSlice(slice: number): string[] {
    const row = this.rows[slice % FANOUT] ?? [];
    return row.flatMap((bucket) => (bucket === undefined ? [] : [...bucket.keys()]));
  }

  *entries(): MapIterator<[string, V]> {
    for (const row of this.rows) {
      if (row === undefined) continue;
      for (const bucket of row) if (bucket !== undefined) yield* bucket.entries();
    }
  }

  *keys(): MapIterator<string> {
    for (const [key] of this.entries()) yield key;
  }

  *values(): MapIterator<V> {
    for (const [, value] of this.entries()) yield value;
  }

  [Symbol.iterator](): MapIterator<[string, V]> {
    return this.entries();
  }

  forEach(callback: (value: V, key: string, map: ReadonlyMap<string, V>) => void): void {
    for (const [key, value] of this.entries()) callback(value, key, this);
  }

  private findBucket(key: string): Bucket<V> | undefined {
    const position = locateBucket(key);
    return this.rows[position.row]?.[position.column];
  }

  private withBucket(key: string, bucket: Bucket<V>): PersistentMap<V> {
    const position = locateBucket(key);
    const oldRow = this.rows[position.row];
    const sizeChange = bucket.size - (oldRow?.[position.column]?.size ?? 0);
    const row = oldRow === undefined ? [] : [...oldRow];
    row[position.column] = bucket;
    const rows = [...this.rows];
    rows[position.row] = row;
    return new PersistentMap<V>(rows, this.size + sizeChange);
  }
}

function locateBucket(key: string): { readonly row: number; readonly column: number } {
  const bucket = (hashString(key) >>> 0) % BUCKETS_COUNT;
  return { row: Math.floor(bucket / FANOUT), column: bucket % FANOUT };
}

/** Hashes the UTF-16 code units with 32-bit FNV-1a, and mixes high bits into the low ones. */
function hashString(key: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < key.length; index += 1) {
    hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
  }
  return hash ^ (hash >>> 15);
}
