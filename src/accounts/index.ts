export * from "./types.js";
export { DEFAULT_ACCOUNT_LIMIT_OPTIONS } from "./constants.js";
export { AccountLimits } from "./accountLimits/index.js";
