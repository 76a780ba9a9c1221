import * as catalogue from "../../../src/catalogue/types.js";

/** A catalogue that holds the items given and never changes. */
export class FixedCatalogue implements catalogue.CatalogueView {
  private readonly state: catalogue.CatalogueState;

  constructor(items: readonly catalogue.CatalogueItem[]) {
    const entries = items.map((item): [string, catalogue.RevisedItem] => [
      `${item.kind}/${item.name}`,
      { item, revision: 0 },
    ]);
    this.state = { appliedOffset: 0, items: new Map(entries) };
  }

  current(): catalogue.CatalogueState {
    return this.state;
  }

  onChange(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }
}

/** An account with limits. */
export function accountOf(
  name: string,
  limits: Pick<
    catalogue.ClientAccount,
    "requestsPerSecond" | "concurrentRequests" | "tokensPerSecond"
  >,
): catalogue.ClientAccount {
  return { kind: catalogue.ItemKind.Account, name, owner: "owner", keyHashes: [], ...limits };
}
