import type * as zod from "zod";

/** An issue with the path of its field, described for the author of the file. */
export interface InputIssue {
  readonly path: readonly PropertyKey[];
  readonly expected: string;
  readonly found: string;
}

type Issue = zod.core.$ZodIssue;
type IssueOf<Code extends Issue["code"]> = Extract<Issue, { code: Code }>;
type Describer<Code extends Issue["code"]> = (issue: IssueOf<Code>) => string;

/** Maximum length of a found value in a message; a longer one is truncated. */
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
    `${formatBound(issue.inclusive, "at least", "more than")} ${formatSize(issue, issue.minimum)}`,
  too_big: (issue) =>
    `${formatBound(issue.inclusive, "at most", "less than")} ${formatSize(issue, issue.maximum)}`,
  invalid_union: (issue) =>
    issue.errors.length === 0
      ? issue.message
      : issue.errors
          .flatMap((branch) => branch.slice(0, 1))
          .map((inner) => describeExpectation(inner))
          .join(" or "),
};

/** Converts one schema issue to input issues, one per field that has to be corrected. */
export function describeIssue(issue: Issue, document: unknown): readonly InputIssue[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      path: [...issue.path, key],
      expected: "a known field",
      found: `unknown field ${JSON.stringify(key)}`,
    }));
  }
  const found = formatFound(readValue(document, issue.path));
  return [{ path: issue.path, expected: describeExpectation(issue), found }];
}

function describeExpectation(issue: Issue): string {
  const describe = DESCRIBERS[issue.code] as ((issue: Issue) => string) | undefined;
  return describe?.(issue) ?? issue.message;
}

function formatBound(
  isInclusive: boolean | undefined,
  inclusive: string,
  exclusive: string,
): string {
  return isInclusive === false ? exclusive : inclusive;
}

function formatSize(issue: { readonly origin: string }, bound: number | bigint): string {
  if (issue.origin === "string") return `${bound} characters`;
  if (issue.origin === "array") return `${bound} items`;
  return String(bound);
}

function readValue(document: unknown, path: readonly PropertyKey[]): unknown {
  let value = document;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Readonly<Record<PropertyKey, unknown>>)[key];
  }
  return value;
}

function formatFound(value: unknown): string {
  if (value === undefined) return "nothing";
  if (Array.isArray(value)) return "a list";
  if (typeof value === "object" && value !== null) return "a mapping";
  const text = JSON.stringify(value);
  return text.length <= MAX_FOUND_CHARACTERS ? text : `${text.slice(0, MAX_FOUND_CHARACTERS)}...`;
}
