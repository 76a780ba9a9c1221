import type * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import type * as accounts from "../../accounts/types.js";
import type * as catalogue from "../../catalogue/index.js";
import type * as types from "../types.js";
import * as authentication from "./authenticateAccount.js";
import * as errors from "./errors.js";

/** An admitted request: its client account, its entry, and its permit within the account's limits. */
export interface AdmittedCaller<Entry> {
  readonly account: catalogue.ClientAccount;
  readonly entry: Entry;
  readonly permit: accounts.AccountPermit;
}

/** Finds an entry by its name; undefined if the catalogue has none of the wanted kind. */
export type FindEntry<Entry> = (state: catalogue.CatalogueState, name: string) => Entry | undefined;

/**
 * Authenticates a caller, finds the entry that it names, and acquires a permit within the limits of
 * its client account.
 *
 * @returns the admitted request, whose permit must be disposed of, or the refusal
 */
export async function admitCaller<Entry extends { readonly owner: string }>(
  parts: types.CallerServerParts,
  request: hapi.Request,
  entryName: string,
  findEntry: FindEntry<Entry>,
): Promise<neverthrow.Result<AdmittedCaller<Entry>, stepError.StepError>> {
  const { isReady, reason } = parts.readiness();
  if (!isReady) return neverthrow.err(createNotReadyError(reason));
  const state = parts.catalogue.current();
  const account = authentication.authenticateAccount(request, state);
  if (account.isErr()) return neverthrow.err(account.error);
  const entry = findPermittedEntry(state, account.value, entryName, findEntry);
  if (entry.isErr()) return neverthrow.err(entry.error);
  await parts.limiter.waitForShare(account.value);
  const permit = parts.limiter.admit(account.value);
  return permit.map((value) => ({ account: account.value, entry: entry.value, permit: value }));
}

function findPermittedEntry<Entry extends { readonly owner: string }>(
  state: catalogue.CatalogueState,
  account: catalogue.ClientAccount,
  entryName: string,
  findEntry: FindEntry<Entry>,
): neverthrow.Result<Entry, stepError.StepError> {
  const entry = findEntry(state, entryName);
  if (entry === undefined) {
    const message = `the catalogue has no entry "${entryName}" of this kind`;
    return neverthrow.err(
      errors.createRefusal(stepError.ErrorCode.NotFound, "http.route", message),
    );
  }
  if (entry.owner !== account.owner) {
    const message = `entry "${entryName}" belongs to another owner than the account`;
    return neverthrow.err(
      errors.createRefusal(stepError.ErrorCode.Forbidden, "http.route", message),
    );
  }
  return neverthrow.ok(entry);
}

function createNotReadyError(reason: string): stepError.StepError {
  return errors.createRefusal(stepError.ErrorCode.ShuttingDown, "http.admit", reason);
}
