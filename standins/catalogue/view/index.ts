import type * as catalogue from "../../../src/catalogue/types.js";

/** A catalogue view whose items tests set directly. */
export class FakeCatalogueView implements catalogue.CatalogueView {
  private readonly listeners = new Set<(state: catalogue.CatalogueState) => void>();
  private state: catalogue.CatalogueState = { appliedOffset: -1, items: new Map() };

  constructor(items: readonly catalogue.CatalogueItem[] = []) {
    this.put(...items);
  }

  current(): catalogue.CatalogueState {
    return this.state;
  }

  onChange(listener: (state: catalogue.CatalogueState) => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Adds or replaces items, as one applied change. */
  put(...items: readonly catalogue.CatalogueItem[]): void {
    const appliedOffset = this.state.appliedOffset + 1;
    const next = new Map(this.state.items);
    for (const item of items) {
      next.set(`${item.kind}/${item.name}`, { item, revision: appliedOffset });
    }
    this.state = { appliedOffset, items: next };
    for (const listener of this.listeners) listener(this.state);
  }
}
