/** One token as a caller received it. */
export interface ReceivedToken {
  readonly offset: number;
  readonly text: string;
}

/** A range of tokens with consecutive offsets from one sampling. */
export interface TokenRange {
  readonly firstOffset: number;
  readonly lastOffset: number;
  /**
   * Identifies the sampling: the output that a stand-in engine produces for one combination of
   * model, version, adapter, prompt and seed. Tokens of two samplings show a wrong splice.
   */
  readonly sampling: string;
}

/** Text of a stand-in engine's token: the sampling and the token's offset. */
const TOKEN_TEXT = /^ ([0-9a-f]+)\.(\d+)$/;

/** Groups tokens into ranges; a complete answer of a single sampling is one range from offset 0. */
export function groupTokenRanges(tokens: readonly ReceivedToken[]): readonly TokenRange[] {
  const ranges: TokenRange[] = [];
  for (const token of tokens) {
    const sampling = findSampling(token);
    const last = ranges.at(-1);
    const { offset } = token;
    if (last?.sampling === sampling && last.lastOffset + 1 === offset) {
      ranges[ranges.length - 1] = { ...last, lastOffset: offset };
    } else {
      ranges.push({ firstOffset: offset, lastOffset: offset, sampling });
    }
  }
  return ranges;
}

/** Splits the text of an unstreamed answer into its tokens. */
export function splitWholeText(text: string): readonly ReceivedToken[] {
  const tokens = text.match(/ [^ ]+/g) ?? [];
  return tokens.map((token, offset) => ({ offset, text: token }));
}

/** Returns the sampling of a token, or its text if its offset is not the one in its text. */
function findSampling(token: ReceivedToken): string {
  const [, sampling, ownOffset] = TOKEN_TEXT.exec(token.text) ?? [];
  return Number(ownOffset) === token.offset && sampling !== undefined ? sampling : token.text;
}
