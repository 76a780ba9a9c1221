type CleanUp = () => void | PromiseLike<void>;

/** Owns disposables and disposes of them together, the last added first. */
export class DisposableStore implements AsyncDisposable {
  private readonly cleanUps: CleanUp[] = [];
  private disposed = false;

  get isDisposed(): boolean {
    return this.disposed;
  }

  /** Takes ownership of a resource and returns it. */
  add<T extends Disposable | AsyncDisposable>(resource: T): T {
    this.defer(() => disposeOf(resource));
    return resource;
  }

  /** Registers a clean-up step that has no object of its own; it runs at once in a disposed store. */
  defer(cleanUp: CleanUp): void {
    if (this.disposed) {
      void cleanUp();
      return;
    }
    this.cleanUps.push(cleanUp);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.disposed = true;
    const errors: unknown[] = [];
    for (let cleanUp = this.cleanUps.pop(); cleanUp !== undefined; cleanUp = this.cleanUps.pop()) {
      try {
        await cleanUp();
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0) throw new AggregateError(errors, "some resources failed to close");
  }
}

function disposeOf(resource: Disposable | AsyncDisposable): void | PromiseLike<void> {
  if (Symbol.asyncDispose in resource) return resource[Symbol.asyncDispose]();
  resource[Symbol.dispose]();
}
