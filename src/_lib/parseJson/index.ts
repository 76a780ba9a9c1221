/** The value in some JSON text; undefined for text that is none, which a schema then reports. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
