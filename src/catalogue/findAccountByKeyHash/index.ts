import * as indexedState from "../_lib/indexedState/index.js";
import * as types from "../types.js";

/**
 * Finds the client account to which a key belongs.
 *
 * @param state - the catalogue
 * @param keyHash - SHA-256 of the key, as lower-case hex
 * @returns the account, or undefined if no account has the key
 */
export function findAccountByKeyHash(
  state: types.CatalogueState,
  keyHash: string,
): types.ClientAccount | undefined {
  const name = indexedState.getIndexes(state).accountNameByKeyHash.get(keyHash);
  if (name === undefined) return undefined;
  const item = indexedState.getItemsOfKind(state, types.ItemKind.Account).get(name)?.item;
  return item?.kind === types.ItemKind.Account ? item : undefined;
}
