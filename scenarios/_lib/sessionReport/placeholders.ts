const UUID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;

const LOOPBACK_ADDRESS = /127\.0\.0\.1:\d+/g;

const DURATION = /\b\d+(\.\d+)? ms\b/g;

const TIMED_FIELD = /"(retryAfterMs|deliveredTokens)":\d+/g;

/** Replaces texts that differ between runs with placeholders that do not. */
export class Placeholders {
  private readonly placeholders = new Map<string, string>();

  /** Assigns a placeholder to a text, unless the text has one. */
  assign(text: string, placeholder: string): void {
    if (!this.placeholders.has(text)) this.placeholders.set(text, placeholder);
  }

  /** Counts the placeholders that begin with a prefix. */
  countWithPrefix(prefix: string): number {
    return [...this.placeholders.values()].filter((name) => name.startsWith(prefix)).length;
  }

  /** Replaces all assigned texts, ids, addresses and durations in a text. */
  replaceIn(text: string): string {
    let replaced = text;
    for (const [found, name] of this.placeholders) replaced = replaced.replaceAll(found, name);
    return replaced
      .replace(UUID, "<uuid>")
      .replace(LOOPBACK_ADDRESS, "<address>")
      .replace(DURATION, "<duration>")
      .replace(TIMED_FIELD, '"$1":<number>');
  }
}
