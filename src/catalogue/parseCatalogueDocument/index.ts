import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import type * as zod from "zod";

import * as schemas from "../_lib/schemas/index.js";
import type * as types from "../types.js";

type PathStep = string | number;

/**
 * Parses an operator's YAML: a list of items, a map with `items:`, a single item, or several such
 * documents separated by `---`. Missing optional fields get their defaults.
 *
 * @param yamlText - the document's text
 * @returns the items in order, or all errors, each with its path and line
 */
export function parseCatalogueDocument(
  yamlText: string,
): neverthrow.Result<types.CatalogueItem[], types.DocumentIssue[]> {
  const lines = new yaml.LineCounter();
  const parsed = yaml.parseAllDocuments(yamlText, { lineCounter: lines, merge: true });
  const documents = Array.isArray(parsed) ? parsed : [];
  const items: types.CatalogueItem[] = [];
  const issues: types.DocumentIssue[] = [];
  const seenKeys = new Set<string>();
  for (const document of documents) {
    const reader = new DocumentReader(document, lines, seenKeys);
    reader.read();
    items.push(...reader.items);
    issues.push(...reader.issues);
  }
  if (issues.length > 0) return neverthrow.err(issues);
  if (items.length > 0) return neverthrow.ok(items);
  return neverthrow.err([{ path: "", line: 1, message: "the document holds no items" }]);
}

/** Collects the items and errors of one YAML document. */
class DocumentReader {
  readonly items: types.CatalogueItem[] = [];
  readonly issues: types.DocumentIssue[] = [];

  constructor(
    private readonly document: yaml.Document.Parsed,
    private readonly lines: yaml.LineCounter,
    private readonly seenKeys: Set<string>,
  ) {}

  read(): void {
    for (const error of this.document.errors) {
      const line = error.linePos?.[0].line ?? 1;
      this.issues.push({ path: "", line, message: takeFirstLine(error.message) });
    }
    if (this.issues.length > 0) return;
    const value = this.toPlainValue();
    if (value === null || value === undefined) return;
    for (const [path, candidate] of listCandidates(value)) this.readItem(path, candidate);
  }

  /** Converts the document to a plain value; one with too many alias expansions is an error. */
  private toPlainValue(): unknown {
    try {
      return this.document.toJS({ maxAliasCount: 100 }) as unknown;
    } catch (error) {
      const message = error instanceof Error ? error.message : "cannot be read";
      this.issues.push({ path: "", line: 1, message });
      return undefined;
    }
  }

  private readItem(path: readonly PathStep[], candidate: unknown): void {
    const parsed = schemas.catalogueItem.safeParse(candidate);
    if (!parsed.success) {
      for (const issue of parsed.error.issues) this.addIssue(path, issue);
      return;
    }
    const key = `${parsed.data.kind}/${parsed.data.name}`;
    if (this.seenKeys.has(key)) {
      this.issues.push({
        path: formatPath(path),
        line: this.findLine(path),
        message: `${key} occurs twice`,
      });
      return;
    }
    this.seenKeys.add(key);
    this.items.push(parsed.data);
  }

  private addIssue(itemPath: readonly PathStep[], issue: zod.core.$ZodIssue): void {
    const steps = issue.path.map((step) => (typeof step === "symbol" ? String(step) : step));
    const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : [];
    const paths =
      unknownKeys.length > 0
        ? unknownKeys.map((key) => [...itemPath, ...steps, key])
        : [[...itemPath, ...steps]];
    for (const path of paths) {
      const message = unknownKeys.length > 0 ? "is not a known field" : issue.message;
      this.issues.push({ path: formatPath(path), line: this.findLine(path), message });
    }
  }

  /** Returns the line of the node at a path, or of its nearest existing ancestor. */
  private findLine(path: readonly PathStep[]): number {
    for (let length = path.length; length >= 0; length -= 1) {
      const node: unknown =
        length === 0 ? this.document.contents : this.document.getIn(path.slice(0, length), true);
      if (yaml.isNode(node) && node.range) return this.lines.linePos(node.range[0]).line;
    }
    return 1;
  }
}

function listCandidates(value: unknown): [PathStep[], unknown][] {
  if (Array.isArray(value)) return value.map((item, index) => [[index], item as unknown]);
  if (typeof value === "object" && value !== null && "items" in value) {
    const listed = value.items;
    if (Array.isArray(listed)) return listed.map((item, index) => [["items", index], item]);
  }
  return [[[], value]];
}

function formatPath(path: readonly PathStep[]): string {
  return path
    .map((step, index) => {
      if (typeof step === "number") return `[${step}]`;
      return index === 0 ? step : `.${step}`;
    })
    .join("");
}

function takeFirstLine(message: string): string {
  return message.split("\n", 1)[0] ?? message;
}
