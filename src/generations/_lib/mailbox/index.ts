/** Queue of messages to one task, in order of arrival. */
export class Mailbox<T> {
  private readonly messages: T[] = [];
  private wake: (() => void) | null = null;

  push(message: T): void {
    this.messages.push(message);
    this.wake?.();
  }

  /** Waits for the next message. */
  async next(): Promise<T> {
    for (;;) {
      const message = this.messages.shift();
      if (message !== undefined) return message;
      await new Promise<void>((resolve) => (this.wake = resolve));
    }
  }

  /** Drops all unread messages. */
  clear(): void {
    this.messages.length = 0;
  }
}
