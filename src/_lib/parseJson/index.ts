/** Parses a JSON text; returns undefined if it is invalid, which the caller's schema rejects. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
