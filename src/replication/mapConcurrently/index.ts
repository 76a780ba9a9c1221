import * as constants from "../constants.js";

/**
 * Maps values by an asynchronous function, a bounded number at a time, in their order.
 *
 * @param values - what to map
 * @param map - the function; it must not reject
 */
export async function mapConcurrently<T, R>(
  values: readonly T[],
  map: (value: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  const pending = values.entries();
  const work = async (): Promise<void> => {
    for (const [index, value] of pending) results[index] = await map(value);
  };
  await Promise.all(Array.from({ length: constants.STATUS_CONCURRENCY }, work));
  return results;
}
