/** Whether one in-process VM goes on, stands still or is gone, for everything that it does. */
export class VmGate {
  private isGone = false;
  private paused: { readonly promise: Promise<void>; readonly release: () => void } | null = null;

  get isDead(): boolean {
    return this.isGone;
  }

  get isPaused(): boolean {
    return this.paused !== null;
  }

  pause(): void {
    if (this.paused !== null) return;
    let release = (): void => undefined;
    const promise = new Promise<void>((resolve) => {
      release = resolve;
    });
    this.paused = { promise, release };
  }

  resume(): void {
    this.paused?.release();
    this.paused = null;
  }

  /** From now on nothing passes. */
  kill(): void {
    this.isGone = true;
    this.resume();
  }

  /** Resolves when the VM goes on; at once unless it is paused. */
  async pass(): Promise<void> {
    while (this.paused !== null) await this.paused.promise;
  }
}
