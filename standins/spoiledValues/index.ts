import * as assert from "node:assert/strict";

import * as fc from "fast-check";

/** Nested JSON arrays; deep enough for a walk that recurses to run out of stack. */
const NESTING_DEPTH = 20_000;

/** Stands for a number that JSON text can hold and no JSON value: the parser makes it infinite. */
const INFINITE_MARK = "infinite number";

/** Stands for a deep nesting, which most encoders cannot write. */
const NESTING_MARK = "deep nesting";

const ODD_NUMBERS = [
  ...[0, -0, -1, 0.5, -0.5, 99, 100, 199, 600, 65_535, 65_536, 70_000],
  ...[2 ** 31 - 1, 2 ** 31, 2 ** 32, 2 ** 53 - 1, 2 ** 53, 1e15, 1e300, -1e300],
  ...[Number.MAX_VALUE, Number.MIN_VALUE, Infinity, -Infinity, NaN],
];

const ODD_TEXTS = [
  ...[
    "",
    " ",
    "a b",
    "a\r\nX-Odd: 1",
    "a\nb",
    "a\0b",
    "\x7f",
    "é",
    "серверў",
    "\u{1f600}",
    "\ud800",
  ],
  ...["k".repeat(200), "k".repeat(201), "k".repeat(5_000), "__proto__", "1e999", "-1", "0x10"],
  ...["127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "[::1]:80", ":80", "a:b:80", "!$%:80"],
  ...["infinite number", "deep nesting"],
];

/** Characters that Node's parser lets through in the value of a header. */
const HEADER_CHARACTERS = fc
  .integer({ min: 0x20, max: 0xff })
  .filter((code) => code !== 0x7f)
  .map((code) => String.fromCharCode(code));

/** Bytes as any process can send them. */
export const bytes: fc.Arbitrary<Buffer> = fc
  .uint8Array({ maxLength: 300 })
  .map((content) => Buffer.from(content));

/** Numbers and texts that are rarely sound, and values of other types. */
export const oddValue: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom(...ODD_NUMBERS),
  fc.constantFrom(...ODD_TEXTS),
  fc.constantFrom(undefined, null, true, [], {}, [[]]),
  fc.double(),
  fc.string({ unit: "binary", maxLength: 20 }),
  fc.jsonValue({ maxDepth: 2 }),
);

/** Values of a header as they come out of Node's parser. */
export const headerValue: fc.Arbitrary<string> = fc.oneof(
  fc.constantFrom(...ODD_NUMBERS).map(String),
  fc.double().map(String),
  fc.string({ unit: HEADER_CHARACTERS, maxLength: 30 }).map((text) => text.trim()),
  fc.constantFrom("", "1", "0.5", "1,2", "1,2,3", "a:1,b", "k".repeat(300)),
);

/** Copies of a sample in which up to three values, at any depth, are replaced by odd ones. */
export function spoil(sample: unknown): fc.Arbitrary<unknown> {
  const change = fc
    .constantFrom(...listPaths(sample))
    .chain((path) => fc.tuple(fc.constant(path), createOddValueFor(readAt(sample, path))));
  return fc
    .array(change, { maxLength: 3 })
    .map((changes) =>
      changes.reduce<unknown>((value, [path, odd]) => replaceAt(value, path, odd), sample),
    );
}

/** The text of spoiled samples, cut or changed in a byte at times, and other bytes. */
export function spoilText(sample: unknown): fc.Arbitrary<Buffer> {
  const text = spoil(sample).map((value) => Buffer.from(toText(value)));
  return fc.oneof({ weight: 8, arbitrary: text }, spoilBytes(text), bytes);
}

/** Bytes that are cut, or of which some are replaced. */
export function spoilBytes(sound: fc.Arbitrary<Buffer>): fc.Arbitrary<Buffer> {
  const changes = fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 3 });
  return fc
    .tuple(sound, fc.option(fc.nat(), { freq: 2 }), changes)
    .map(([content, cutAt, replaced]) => {
      const spoiled = Buffer.from(content);
      if (spoiled.length === 0) return spoiled;
      for (const [at, byte] of replaced) spoiled[at % spoiled.length] = byte;
      return cutAt === null ? spoiled : spoiled.subarray(0, cutAt % spoiled.length);
    });
}

/** Describes the first number in a decoded value that is not finite, or that is an invalid port; null if none. */
function findUnusable(value: unknown, name = "value"): string | null {
  if (typeof value === "number") {
    if (!Number.isFinite(value)) return `${name} is ${value}`;
    const isPort = Number.isInteger(value) && value > 0 && value < 65_536;
    return /port$/i.test(name) && !isPort ? `${name} is ${value}` : null;
  }
  if (typeof value !== "object" || value === null || Buffer.isBuffer(value)) return null;
  for (const [key, item] of Object.entries(value)) {
    const fault = findUnusable(item, key);
    if (fault !== null) return fault;
  }
  return null;
}

/** Throws if a value that was written and read again has changed; the sign of a zero may be lost. */
export function assertSame(found: unknown, expected: unknown): void {
  assert.deepStrictEqual(removeZeroSigns(found), removeZeroSigns(expected));
}

/** Throws if a decoded value may fail where it is used. */
export function assertUsable(value: unknown): void {
  const fault = findUnusable(value);
  if (fault !== null) throw new Error(fault);
}

/** Checks a property; FUZZ_RUNS and FUZZ_SEED replace the number of cases and the seed, for long runs. */
export async function check<T>(
  arbitrary: fc.Arbitrary<T>,
  verify: (input: T) => unknown,
  defaults: { readonly seed: number; readonly runsCount: number },
): Promise<void> {
  const { FUZZ_RUNS: runs, FUZZ_SEED: seed } = process.env;
  // What the property returns counts only if it is false, as for fast-check.
  const property = fc.asyncProperty(arbitrary, async (input) => (await verify(input)) !== false);
  await fc.assert(property, {
    numRuns: runs === undefined ? defaults.runsCount : Number(runs),
    seed: seed === undefined ? defaults.seed : Number(seed),
  });
}

type Path = readonly (string | number)[];

/** Lists the paths to all values of a sample, first to the sample itself. */
function listPaths(value: unknown, path: Path = []): readonly Path[] {
  if (typeof value !== "object" || value === null || value instanceof Uint8Array) return [path];
  const keys: readonly (string | number)[] = Array.isArray(value)
    ? [...value.keys()]
    : Object.keys(value);
  return [
    path,
    ...keys.flatMap((key) => listPaths((value as Record<string, unknown>)[key], [...path, key])),
  ];
}

function removeZeroSigns(value: unknown): unknown {
  if (typeof value === "number") return value + 0;
  if (Array.isArray(value)) return value.map(removeZeroSigns);
  if (typeof value !== "object" || value === null || value instanceof Uint8Array) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [key, removeZeroSigns(item)]),
  );
}

/** Odd values, most of which have the type of the sound one, as others seldom get far. */
function createOddValueFor(sound: unknown): fc.Arbitrary<unknown> {
  const odd = { weight: 1, arbitrary: oddValue };
  if (typeof sound === "number")
    return fc.oneof(odd, { weight: 3, arbitrary: fc.constantFrom<unknown>(...ODD_NUMBERS) });
  if (typeof sound === "string")
    return fc.oneof(odd, { weight: 3, arbitrary: fc.constantFrom<unknown>(...ODD_TEXTS) });
  return oddValue;
}

function readAt(value: unknown, path: Path): unknown {
  return path.reduce<unknown>((at, key) => (at as Record<string, unknown>)[key], value);
}

function replaceAt(value: unknown, [key, ...rest]: Path, odd: unknown): unknown {
  if (key === undefined) return odd;
  if (Array.isArray(value))
    return value.map((item: unknown, at) => (at === key ? replaceAt(item, rest, odd) : item));
  // An earlier change may have replaced the object.
  if (typeof value !== "object" || value === null) return value;
  const fields = value as Record<string, unknown>;
  return { ...fields, [key]: replaceAt(fields[key], rest, odd) };
}

function toText(value: unknown): string {
  const mark = (_key: string, item: unknown): unknown => (item === Infinity ? INFINITE_MARK : item);
  const text = JSON.stringify(value, mark) as string | undefined;
  return (text ?? "")
    .replaceAll(`"${INFINITE_MARK}"`, "1e999")
    .replaceAll(`"${NESTING_MARK}"`, `${"[".repeat(NESTING_DEPTH)}${"]".repeat(NESTING_DEPTH)}`);
}
