const UUID = /[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g;

const LOOPBACK_ADDRESS = /127\.0\.0\.1:\d+/g;

const DURATION = /\b\d+(\.\d+)? ms\b/g;

const TIMED_FIELD = /"(retryAfterMs|deliveredTokens)":\d+/g;

/** Replaces what differs from run to run by names that do not. */
export class Placeholders {
  private readonly names = new Map<string, string>();

  /** Gives a text its name, unless it has one. */
  name(text: string, placeholder: string): void {
    if (!this.names.has(text)) this.names.set(text, placeholder);
  }

  /** How many names begin with a prefix. */
  countOf(prefix: string): number {
    return [...this.names.values()].filter((name) => name.startsWith(prefix)).length;
  }

  replaceIn(text: string): string {
    let replaced = text;
    for (const [found, name] of this.names) replaced = replaced.replaceAll(found, name);
    return replaced
      .replace(UUID, "<uuid>")
      .replace(LOOPBACK_ADDRESS, "<address>")
      .replace(DURATION, "<duration>")
      .replace(TIMED_FIELD, '"$1":<number>');
  }
}
