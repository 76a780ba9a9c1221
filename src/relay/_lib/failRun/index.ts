import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import * as answerRefusals from "../answerRefusal/index.js";
import type * as callSink from "../callSink/index.js";
import type * as runLogs from "../runLog/index.js";
import type * as sendRecords from "../sendRecord/index.js";

/** A generation that an engine has begun and that is not served to its end. */
interface FailedRun {
  readonly sends: sendRecords.SendRecord;
  readonly reason: types.RefusalReason;
  readonly position: runLogs.RunPosition;
}

/** Refuses a generation if its caller has no byte of its stream yet; otherwise closes the caller's connection. */
export function failRun(
  context: relayContext.RelayContext,
  call: types.Call,
  sink: callSink.CallSink,
  { sends, reason, position }: FailedRun,
): void {
  if (call.callerDisconnected.aborted) return;
  sink.failWith(() => {
    const refusal = sends.createRefusal(reason);
    answerRefusals.answerRefusal(context, call, sink, refusal, { ...position });
  });
}
