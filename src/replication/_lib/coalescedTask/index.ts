/**
 * Coalesces concurrent requests for the same work. Requests during an execution share the next one,
 * which begins after they were made, so its result is never older than the request.
 */
export class CoalescedTask<T> {
  private running: Promise<T> | null = null;
  private queued: Promise<T> | null = null;

  constructor(private readonly work: () => Promise<T>) {}

  /** Starts the work, or joins the execution that follows the current one. */
  run(): Promise<T> {
    if (this.running === null) return this.start();
    this.queued ??= this.running.then(
      () => this.startQueued(),
      () => this.startQueued(),
    );
    return this.queued;
  }

  private startQueued(): Promise<T> {
    this.queued = null;
    return this.start();
  }

  private start(): Promise<T> {
    const running = this.work().finally(() => {
      if (this.running === running) this.running = null;
    });
    this.running = running;
    return running;
  }
}
