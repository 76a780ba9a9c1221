import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; injected, so that equal seeds reproduce a run exactly. */
export interface RandomSource {
  /** Returns the next number, in [0, 1). */
  next(): number;
  /** Derives an independent source, so that the draws of one consumer do not affect another's. */
  fork(): RandomSource;
}

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a seeded source of pseudorandom numbers.
 *
 * @param seed - any 32-bit integer; equal seeds give equal sequences
 */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const nextUint32 = (): number => generator.next() >>> 0;
  return {
    next: () => nextUint32() / UINT32_RANGE,
    fork: () => createRandom(nextUint32() | 0),
  };
}
