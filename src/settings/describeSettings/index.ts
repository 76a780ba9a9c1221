import * as zod from "zod";

import * as schema from "../_lib/schema/index.js";
import type * as types from "../types.js";

interface JsonSchema {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly default?: unknown;
  readonly description?: string;
}

/** Describes every section and field of the settings, in the order of the schema. */
export function describeSettings(): readonly types.SettingDescription[] {
  const root = zod.toJSONSchema(schema.settingsSchema, { io: "input" }) as JsonSchema;
  return describeProperties(root, "");
}

function describeProperties(section: JsonSchema, prefix: string): types.SettingDescription[] {
  return Object.entries(section.properties ?? {}).flatMap(([key, field]) => {
    const path = `${prefix}${key}`;
    const isRequired = section.required?.includes(key) ?? false;
    return [describeField(path, field, isRequired), ...describeChildren(path, field)];
  });
}

function describeChildren(path: string, field: JsonSchema): types.SettingDescription[] {
  if (field.items !== undefined) return describeProperties(field.items, `${path}[].`);
  return describeProperties(field, `${path}.`);
}

function describeField(
  path: string,
  field: JsonSchema,
  isRequired: boolean,
): types.SettingDescription {
  return {
    path,
    type: field.enum?.join(", ") ?? field.type ?? "string",
    defaultText: field.default === undefined ? null : JSON.stringify(field.default),
    isRequired,
    description: field.description ?? "",
  };
}
