/**
 * Runs work for many askers at once: whoever asks while it runs shares the next run, which begins
 * after the question, so that its result is never older than that.
 */
export class SharedRun<T> {
  private running: Promise<T> | null = null;
  private next: Promise<T> | null = null;

  constructor(private readonly work: () => Promise<T>) {}

  run(): Promise<T> {
    if (this.running === null) return this.start();
    this.next ??= this.running.then(
      () => this.startNext(),
      () => this.startNext(),
    );
    return this.next;
  }

  private startNext(): Promise<T> {
    this.next = null;
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
