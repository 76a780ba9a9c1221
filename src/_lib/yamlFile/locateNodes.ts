import * as yaml from "yaml";

/**
 * Line of the node at a path, counted from 1; of its nearest parent where it is missing.
 *
 * @param lines - the counter with which the document was parsed
 */
export function lineOf(
  document: yaml.Document.Parsed,
  lines: yaml.LineCounter,
  path: readonly PropertyKey[],
): number {
  let node: unknown = document.contents;
  let offset = startOf(node) ?? 0;
  for (const key of path) {
    const child = childOf(node, key);
    if (child === undefined) break;
    offset = startOf(child.label) ?? offset;
    node = child.value;
  }
  return lines.linePos(offset).line;
}

interface Child {
  /** Where a reader looks for the child: its key in a mapping, itself in a list. */
  readonly label: unknown;
  readonly value: unknown;
}

function childOf(node: unknown, key: PropertyKey): Child | undefined {
  if (yaml.isMap(node)) {
    const pair = node.items.find((item) => keyText(item.key) === String(key));
    return pair === undefined ? undefined : { label: pair.key, value: pair.value };
  }
  if (yaml.isSeq(node)) {
    const item = node.items[Number(key)];
    return item === undefined ? undefined : { label: item, value: item };
  }
  return undefined;
}

function keyText(key: unknown): string {
  return yaml.isScalar(key) ? String(key.value) : "";
}

function startOf(node: unknown): number | undefined {
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}
