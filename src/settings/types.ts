import type * as zod from "zod";

import type * as yamlFile from "../_lib/yamlFile/index.js";
import type * as schema from "./_lib/schema/index.js";

/** A daemon's validated settings, with defaults applied. */
export type Settings = Readonly<zod.infer<typeof schema.settingsSchema>>;

/** Settings as written in a file, before defaults are applied. */
export type SettingsInput = zod.input<typeof schema.settingsSchema>;

/** One problem in a settings file. */
export type SettingsProblem = yamlFile.YamlProblem;

/** Description of one section or field of the settings, for the documentation. */
export interface SettingDescription {
  /** Path of the field; `[]` denotes the items of a list. */
  readonly path: string;
  readonly type: string;
  /** The default value as JSON; null if there is none. */
  readonly defaultText: string | null;
  readonly isRequired: boolean;
  readonly description: string;
}
