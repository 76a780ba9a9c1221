/** Parses a JSON text; returns undefined if it is invalid, so that the caller's schema rejects it. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
