const FANOUT = 64;
const BUCKETS_COUNT = FANOUT * FANOUT;
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

type Bucket<V> = ReadonlyMap<string, V>;
type Row<V> = readonly (Bucket<V> | undefined)[];

/**
 * An immutable map with string keys. A change copies two arrays of 64 and one bucket, so its cost
 * grows with size / 4096 and older versions stay valid for whoever still reads them.
 */
export class PersistentMap<V> implements ReadonlyMap<string, V> {
  private constructor(
    private readonly rows: readonly (Row<V> | undefined)[],
    readonly size: number,
  ) {}

  /** A map without entries. */
  static empty<V>(): PersistentMap<V> {
    return new PersistentMap<V>([], 0);
  }

  /** Builds a map in one pass, without a version per entry; later entries win. */
  static from<V>(entries: Iterable<readonly [string, V]>): PersistentMap<V> {
    const rows: (Map<string, V> | undefined)[][] = [];
    let size = 0;
    for (const [key, value] of entries) {
      const place = placeOf(key);
      const row = (rows[place.row] ??= []);
      const bucket = (row[place.column] ??= new Map<string, V>());
      if (!bucket.has(key)) size += 1;
      bucket.set(key, value);
    }
    return new PersistentMap<V>(rows, size);
  }

  get(key: string): V | undefined {
    return this.bucketOf(key)?.get(key);
  }

  has(key: string): boolean {
    return this.bucketOf(key)?.has(key) ?? false;
  }

  /** A version of this map with one entry added or replaced. */
  with(key: string, value: V): PersistentMap<V> {
    const bucket = new Map(this.bucketOf(key));
    bucket.set(key, value);
    return this.withBucket(key, bucket);
  }

  /** A version of this map without the key. */
  without(key: string): PersistentMap<V> {
    if (!this.has(key)) return this;
    const bucket = new Map(this.bucketOf(key));
    bucket.delete(key);
    return this.withBucket(key, bucket);
  }

  /** Keys of one of the map's 64 slices, so that a sweep can be spread over time. */
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

  private bucketOf(key: string): Bucket<V> | undefined {
    const place = placeOf(key);
    return this.rows[place.row]?.[place.column];
  }

  private withBucket(key: string, bucket: Bucket<V>): PersistentMap<V> {
    const place = placeOf(key);
    const oldRow = this.rows[place.row];
    const sizeChange = bucket.size - (oldRow?.[place.column]?.size ?? 0);
    const row = oldRow === undefined ? [] : [...oldRow];
    row[place.column] = bucket;
    const rows = [...this.rows];
    rows[place.row] = row;
    return new PersistentMap<V>(rows, this.size + sizeChange);
  }
}

function placeOf(key: string): { readonly row: number; readonly column: number } {
  const bucket = (hashString(key) >>> 0) % BUCKETS_COUNT;
  return { row: Math.floor(bucket / FANOUT), column: bucket % FANOUT };
}

function hashString(key: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < key.length; index += 1) {
    hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
  }
  return hash ^ (hash >>> 15);
}
