import type * as zod from "zod";

/** A mistake as a reader of the file needs it. */
export interface Mistake {
  readonly path: readonly PropertyKey[];
  readonly expected: string;
  readonly found: string;
}

type Issue = zod.core.$ZodIssue;
type IssueOf<Code extends Issue["code"]> = Extract<Issue, { code: Code }>;
type Describer<Code extends Issue["code"]> = (issue: IssueOf<Code>) => string;

/** Longest text of a found value that is shown whole. */
const MAX_FOUND_CHARACTERS = 60;

const TYPE_NAMES: Readonly<Record<string, string>> = {
  object: "a mapping",
  record: "a mapping",
  array: "a list",
  string: "a text, in quotes where it looks like a number",
  number: "a number",
  int: "a whole number",
  boolean: "true or false",
};

const DESCRIBERS: { readonly [Code in Issue["code"]]?: Describer<Code> } = {
  invalid_type: (issue) => TYPE_NAMES[issue.expected] ?? issue.expected,
  invalid_value: (issue) => `one of ${issue.values.map((value) => String(value)).join(", ")}`,
  too_small: (issue) =>
    `${boundText(issue.inclusive, "at least", "more than")} ${sizeText(issue, issue.minimum)}`,
  too_big: (issue) =>
    `${boundText(issue.inclusive, "at most", "less than")} ${sizeText(issue, issue.maximum)}`,
  invalid_union: (issue) =>
    issue.errors.length === 0
      ? issue.message
      : issue.errors
          .flatMap((branch) => branch.slice(0, 1))
          .map((inner) => expectationOf(inner))
          .join(" or "),
};

/** Turns one schema issue into mistakes: one per field that a reader has to mend. */
export function describeIssue(issue: Issue, document: unknown): readonly Mistake[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      path: [...issue.path, key],
      expected: "a known field",
      found: `unknown field ${JSON.stringify(key)}`,
    }));
  }
  const found = foundText(valueAt(document, issue.path));
  return [{ path: issue.path, expected: expectationOf(issue), found }];
}

function expectationOf(issue: Issue): string {
  const describe = DESCRIBERS[issue.code] as ((issue: Issue) => string) | undefined;
  return describe?.(issue) ?? issue.message;
}

function boundText(isInclusive: boolean | undefined, inclusive: string, exclusive: string): string {
  return isInclusive === false ? exclusive : inclusive;
}

function sizeText(issue: { readonly origin: string }, bound: number | bigint): string {
  if (issue.origin === "string") return `${bound} characters`;
  if (issue.origin === "array") return `${bound} items`;
  return String(bound);
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
  let value = document;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Readonly<Record<PropertyKey, unknown>>)[key];
  }
  return value;
}

function foundText(value: unknown): string {
  if (value === undefined) return "nothing";
  if (Array.isArray(value)) return "a list";
  if (typeof value === "object" && value !== null) return "a mapping";
  const text = JSON.stringify(value);
  return text.length <= MAX_FOUND_CHARACTERS ? text : `${text.slice(0, MAX_FOUND_CHARACTERS)}...`;
}
