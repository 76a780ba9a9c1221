import * as constants from "../constants.js";

/**
 * Maps values with an asynchronous function, with a bounded number of concurrent calls.
 *
 * @param values - the values to map
 * @param map - the mapping function; it must not reject
 * @returns the results in the order of the values
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
  await Promise.all(Array.from({ length: constants.MAX_CONCURRENT_STATUS_REQUESTS }, work));
  return results;
}
