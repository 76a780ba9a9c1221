import type * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as keys from "../hashKey/index.js";
import * as errors from "./errors.js";

const BEARER_PREFIX = "bearer ";

/** Returns the key of an `Authorization: Bearer` header; null if there is none. */
export function readBearerKey(request: hapi.Request): string | null {
  const header = request.raw.req.headers.authorization ?? "";
  const isBearer = header.slice(0, BEARER_PREFIX.length).toLowerCase() === BEARER_PREFIX;
  return isBearer ? header.slice(BEARER_PREFIX.length).trim() : null;
}

/** Finds the client account to which the request's Bearer key belongs. */
export function authenticateAccount(
  request: hapi.Request,
  state: catalogue.CatalogueState,
): neverthrow.Result<catalogue.ClientAccount, stepError.StepError> {
  const key = readBearerKey(request);
  if (key === null || key === "") {
    return neverthrow.err(
      createUnauthenticatedError("expected an Authorization header with a Bearer key"),
    );
  }
  const hash = keys.hashKey(key);
  const account = catalogue.findAccountByKeyHash(state, hash);
  if (account === undefined || !keys.isHashAmong(hash, account.keyHashes)) {
    return neverthrow.err(createUnauthenticatedError("the key belongs to no client account"));
  }
  return neverthrow.ok(account);
}

function createUnauthenticatedError(message: string): stepError.StepError {
  return errors.createRefusal(stepError.ErrorCode.Unauthenticated, "http.authenticate", message);
}
