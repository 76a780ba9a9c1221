/**
 * The pause and kill state of one in-process VM. The VM's timers and I/O wait at the gate while it
 * is paused.
 */
export class VmGate {
  private isKilled = false;
  private paused: { readonly promise: Promise<void>; readonly release: () => void } | null = null;

  get isDead(): boolean {
    return this.isKilled;
  }

  get isPaused(): boolean {
    return this.paused !== null;
  }

  /** Pauses the VM. */
  pause(): void {
    if (this.paused !== null) return;
    let release = (): void => undefined;
    const promise = new Promise<void>((resolve) => {
      release = resolve;
    });
    this.paused = { promise, release };
  }

  /** Resumes the VM and releases all waiting operations. */
  resume(): void {
    this.paused?.release();
    this.paused = null;
  }

  /** Marks the VM as dead permanently and releases all waiting operations. */
  kill(): void {
    this.isKilled = true;
    this.resume();
  }

  /** Resolves when the VM is not paused. */
  async waitUntilResumed(): Promise<void> {
    while (this.paused !== null) await this.paused.promise;
  }
}
