/** Changes the count of a key, which is removed when it reaches 0. */
export function changeCount(counts: Map<string, number>, key: string, change: 1 | -1): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
