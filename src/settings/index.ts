export { describeSettings } from "./describeSettings/index.js";
export { formatSettingsErrors } from "./formatSettingsErrors/index.js";
export { loadSettings } from "./loadSettings/index.js";
export { parseSettings } from "./parseSettings/index.js";
export type * from "./types.js";
