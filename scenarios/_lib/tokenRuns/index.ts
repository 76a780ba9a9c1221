/** One token as a caller received it. */
export interface ReceivedToken {
  readonly offset: number;
  readonly text: string;
}

/** Tokens that follow each other without a gap and come from one sampling. */
export interface TokenRun {
  readonly firstOffset: number;
  readonly lastOffset: number;
  readonly sampling: string;
}

/** Text of a stand-in engine's token: its sampling and its own offset. */
const TOKEN_TEXT = /^ ([0-9a-f]+)\.(\d+)$/;

/** Gathers tokens into runs; an answer that is whole and unspliced is one run from 0. */
export function gatherTokenRuns(tokens: readonly ReceivedToken[]): readonly TokenRun[] {
  const runs: TokenRun[] = [];
  for (const token of tokens) {
    const sampling = samplingOf(token);
    const last = runs.at(-1);
    const { offset } = token;
    if (last?.sampling === sampling && last.lastOffset + 1 === offset) {
      runs[runs.length - 1] = { ...last, lastOffset: offset };
    } else {
      runs.push({ firstOffset: offset, lastOffset: offset, sampling });
    }
  }
  return runs;
}

/** Splits the text of a whole answer into its tokens. */
export function splitWholeText(text: string): readonly ReceivedToken[] {
  const tokens = text.match(/ [^ ]+/g) ?? [];
  return tokens.map((token, offset) => ({ offset, text: token }));
}

/** The sampling of a token; the token's own text where it does not stand at its offset. */
function samplingOf(token: ReceivedToken): string {
  const [, sampling, ownOffset] = TOKEN_TEXT.exec(token.text) ?? [];
  return Number(ownOffset) === token.offset && sampling !== undefined ? sampling : token.text;
}
