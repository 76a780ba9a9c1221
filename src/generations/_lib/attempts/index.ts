/** Attempts of one owner stay below the next multiple of this. */
const ATTEMPTS_PER_OWNER = 1_000;

/**
 * The first attempt of a new owner. It exceeds all that the old owner can have used, so that
 * whatever an old owner still sends after a pause is recognised as old.
 */
export function nextOwnerAttempt(attempt: number): number {
  return (Math.floor(attempt / ATTEMPTS_PER_OWNER) + 1) * ATTEMPTS_PER_OWNER;
}
