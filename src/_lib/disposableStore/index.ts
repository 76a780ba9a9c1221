type CleanUp = () => void | PromiseLike<void>;

/** Owns disposable resources and disposes of them in reverse order of addition. */
export class DisposableStore implements AsyncDisposable {
  private readonly cleanUpSteps: CleanUp[] = [];
  private disposed = false;

  /** Whether disposal has begun. */
  get isDisposed(): boolean {
    return this.disposed;
  }

  /** Takes ownership of a resource and returns it; a disposed store disposes of it at once. */
  add<T extends Disposable | AsyncDisposable>(resource: T): T {
    this.defer(() => disposeResource(resource));
    return resource;
  }

  /** Registers a clean-up function; a disposed store runs it at once. */
  defer(cleanUp: CleanUp): void {
    if (this.disposed) {
      void cleanUp();
      return;
    }
    this.cleanUpSteps.push(cleanUp);
  }

  /**
   * Disposes of all resources, also if some of them fail.
   *
   * @throws an AggregateError of all failures
   */
  async [Symbol.asyncDispose](): Promise<void> {
    this.disposed = true;
    const errors: unknown[] = [];
    for (
      let cleanUp = this.cleanUpSteps.pop();
      cleanUp !== undefined;
      cleanUp = this.cleanUpSteps.pop()
    ) {
      try {
        await cleanUp();
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0)
      throw new AggregateError(errors, `${errors.length} resources failed to close`);
  }
}

function disposeResource(resource: Disposable | AsyncDisposable): void | PromiseLike<void> {
  if (Symbol.asyncDispose in resource) return resource[Symbol.asyncDispose]();
  resource[Symbol.dispose]();
}
