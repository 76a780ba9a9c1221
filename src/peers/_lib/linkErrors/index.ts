import * as stepError from "../../../_lib/stepError/index.js";

/** The error of a message that did not leave this VM. */
export function notSentError(
  vmName: string,
  message: string,
  retryAfterMs?: number,
): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PeerUnreachable,
    step: "peer.send",
    peer: vmName,
    execution: stepError.ExecutionState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

/** The error of a message for which the queue had no room. */
export function queueFullError(vmName: string): stepError.StepError {
  return new stepError.StepError("the queue to the VM is full", {
    code: stepError.ErrorCode.Overloaded,
    step: "peer.send",
    peer: vmName,
    execution: stepError.ExecutionState.NotRun,
  });
}

/** The error of a message that no frame may hold. */
export function tooLargeError(vmName: string, frameBytes: number): stepError.StepError {
  return new stepError.StepError(`message of ${frameBytes} bytes is too large`, {
    code: stepError.ErrorCode.TooLarge,
    step: "peer.send",
    peer: vmName,
    execution: stepError.ExecutionState.NotRun,
  });
}

/** The error of a call that got no answer. */
export function callFailedError(
  vmName: string,
  message: string,
  execution: stepError.ExecutionState,
  code = stepError.ErrorCode.PeerUnreachable,
): stepError.StepError {
  return new stepError.StepError(message, { code, step: "peer.call", peer: vmName, execution });
}
