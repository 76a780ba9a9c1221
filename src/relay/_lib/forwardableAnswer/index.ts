import * as notRunPromises from "../../../_lib/promisesNotRun/index.js";
import * as routing from "../../../routing/index.js";
import type * as types from "../../types.js";
import type * as heldBodies from "../heldBody/index.js";

/** A server's complete answer to a call that it may have run. */
interface ServerAnswer {
  readonly head: types.AnswerHead;
  readonly body: heldBodies.HeldBody;
}

/** A server's answer that may go on to the caller; only `from` creates one. */
export class ForwardableAnswer {
  private constructor(
    readonly status: number,
    readonly headers: readonly string[],
    readonly body: heldBodies.HeldBody,
  ) {}

  /**
   * Checks an answer of a server that does not state that it has not run the call.
   *
   * @returns null if its body was given up, or if its status promises that the call has not run and the call may
   * run only once: its caller would send it again
   */
  static from({ route }: types.Call, { head, body }: ServerAnswer): ForwardableAnswer | null {
    const isRepeatable = route.kind === routing.RouteKind.Idempotent;
    if (!isRepeatable && notRunPromises.promisesNotRun(head.status)) return null;
    if (body.wasEvicted) return null;
    return new ForwardableAnswer(head.status, head.forwardedHeaders, body);
  }
}
