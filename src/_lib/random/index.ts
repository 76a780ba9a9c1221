import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; injected, so that a seed repeats a run exactly. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** An independent source derived from this one, so that one consumer cannot shift another's draws. */
  fork(): RandomSource;
}

const RANDOM_RANGE = 2 ** 32;

/**
 * A seeded source of random numbers.
 *
 * @param seed - any 32-bit integer; equal seeds give equal sequences
 */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const nextUint32 = (): number => generator.next() >>> 0;
  return {
    next: () => nextUint32() / RANDOM_RANGE,
    fork: () => createRandom(nextUint32() | 0),
  };
}
