import * as yaml from "yaml";

/**
 * Finds the line of the node at a path, counted from 1; if the node is missing, that of its nearest
 * existing ancestor.
 *
 * @param lines - the line counter with which the document was parsed
 */
export function findLine(
  document: yaml.Document.Parsed,
  lines: yaml.LineCounter,
  path: readonly PropertyKey[],
): number {
  let node: unknown = document.contents;
  let offset = findStartOffset(node) ?? 0;
  for (const key of path) {
    const child = findChild(node, key);
    if (child === undefined) break;
    offset = findStartOffset(child.label) ?? offset;
    node = child.value;
  }
  return lines.linePos(offset).line;
}

interface Child {
  /** Node whose position is reported: the key in a mapping, the item itself in a list. */
  readonly label: unknown;
  readonly value: unknown;
}

function findChild(node: unknown, key: PropertyKey): Child | undefined {
  if (yaml.isMap(node)) {
    const pair = node.items.find((item) => formatKey(item.key) === String(key));
    return pair === undefined ? undefined : { label: pair.key, value: pair.value };
  }
  if (yaml.isSeq(node)) {
    const item = node.items[Number(key)];
    return item === undefined ? undefined : { label: item, value: item };
  }
  return undefined;
}

function formatKey(key: unknown): string {
  return yaml.isScalar(key) ? String(key.value) : "";
}

function findStartOffset(node: unknown): number | undefined {
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}
