/** Parses a JSON text; returns undefined for invalid JSON, which a schema then rejects. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
