/** Size of the range of attempt numbers that belongs to one owner. */
const ATTEMPTS_PER_OWNER = 1_000;

/**
 * Computes the first attempt of a new owner. It exceeds all attempts that the old owner can have
 * used, so that messages that the old owner still sends after a process pause are recognised as
 * stale.
 */
export function computeNextOwnerAttempt(attempt: number): number {
  return (Math.floor(attempt / ATTEMPTS_PER_OWNER) + 1) * ATTEMPTS_PER_OWNER;
}
