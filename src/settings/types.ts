import type * as zod from "zod";

import type * as yamlFile from "../_lib/yamlFile/index.js";
import type * as schema from "./_lib/schema/index.js";

/** A daemon's checked settings, defaults filled in. */
export type Settings = Readonly<zod.infer<typeof schema.settingsSchema>>;

/** Settings as they stand in a file, before defaults. */
export type SettingsInput = zod.input<typeof schema.settingsSchema>;

/** One mistake in a settings file. */
export type SettingsProblem = yamlFile.YamlProblem;

/** One field of the settings, as the documentation lists it. */
export interface SettingDescription {
  /** Path of the field; `[]` stands for each item of a list. */
  readonly path: string;
  readonly type: string;
  /** The default as JSON; null where the field has none. */
  readonly defaultText: string | null;
  readonly isRequired: boolean;
  readonly description: string;
}
