import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import type * as zod from "zod";

import * as describeIssues from "./describeIssues.js";
import * as locateNodes from "./locateNodes.js";

/** One issue in a YAML file, with its position. */
export interface YamlProblem {
  readonly fileName: string;
  /** Line in the file, counted from 1. */
  readonly line: number;
  /** Path of the field, e.g. `vm.peerPort`; empty for the whole document. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/**
 * Parses a YAML text of one document and validates it against a schema.
 *
 * @returns the validated value, or all issues in the order of their lines
 */
export function parseYaml<T>(
  text: string,
  fileName: string,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, readonly YamlProblem[]> {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines });
  return checkDocument(document, lines, fileName, schema);
}

/** Formats one problem, e.g. `vm.yaml:3: vm.peerPort: expected a number, found "x"`. */
export function formatYamlProblem(problem: YamlProblem): string {
  const path = problem.path === "" ? "" : ` ${problem.path}:`;
  return `${problem.fileName}:${problem.line}:${path} expected ${problem.expected}, found ${problem.found}`;
}

function checkDocument<T>(
  document: yaml.Document.Parsed,
  lines: yaml.LineCounter,
  fileName: string,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, readonly YamlProblem[]> {
  if (document.errors.length > 0) {
    return neverthrow.err(
      document.errors.map((error) => createSyntaxProblem(error, lines, fileName)),
    );
  }
  const plain = toPlainValue(document, fileName);
  if (plain.isErr()) return neverthrow.err([plain.error]);
  const { value } = plain;
  const result = schema.safeParse(value);
  if (result.success) return neverthrow.ok(result.data);
  const problems = result.error.issues
    .flatMap((issue) => describeIssues.describeIssue(issue, value))
    .map((inputIssue) => ({
      fileName,
      line: locateNodes.findLine(document, lines, inputIssue.path),
      path: formatPath(inputIssue.path),
      expected: inputIssue.expected,
      found: inputIssue.found,
    }));
  return neverthrow.err(problems.sort((left, right) => left.line - right.line));
}

/** Converts a document to a plain value; aliases without an anchor, and of too much, are a problem of all of it. */
function toPlainValue(
  document: yaml.Document.Parsed,
  fileName: string,
): neverthrow.Result<unknown, YamlProblem> {
  try {
    return neverthrow.ok(document.toJS() as unknown);
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    return neverthrow.err({ fileName, line: 1, path: "", expected: "valid YAML", found });
  }
}

function createSyntaxProblem(
  error: yaml.YAMLError,
  lines: yaml.LineCounter,
  fileName: string,
): YamlProblem {
  const [summary] = error.message.split(/ at line |\n/);
  return {
    fileName,
    line: lines.linePos(error.pos[0]).line,
    path: "",
    expected: "valid YAML",
    found: summary ?? error.code,
  };
}

function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((key) => (typeof key === "number" ? `[${key}]` : `.${String(key)}`))
    .join("")
    .replace(/^\./, "");
}
