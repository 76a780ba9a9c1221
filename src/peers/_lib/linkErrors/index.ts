import * as stepError from "../../../_lib/stepError/index.js";

/** Creates the error of a message that was not sent. */
export function createNotSentError(
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

/** Creates the error of a message that was rejected because the queue to its VM is full. */
export function createQueueFullError(vmName: string): stepError.StepError {
  return new stepError.StepError(`the send queue to VM ${vmName} is full`, {
    code: stepError.ErrorCode.Overloaded,
    step: "peer.send",
    peer: vmName,
    execution: stepError.ExecutionState.NotRun,
  });
}

/** Creates the error of a message that exceeds the frame limit. */
export function createTooLargeError(vmName: string, frameBytes: number): stepError.StepError {
  return new stepError.StepError(
    `message of ${frameBytes} bytes to VM ${vmName} exceeds the frame limit`,
    {
      code: stepError.ErrorCode.TooLarge,
      step: "peer.send",
      peer: vmName,
      execution: stepError.ExecutionState.NotRun,
    },
  );
}

/** Creates the error of a call that received no response. */
export function createCallFailedError(
  vmName: string,
  message: string,
  execution: stepError.ExecutionState,
  code = stepError.ErrorCode.PeerUnreachable,
): stepError.StepError {
  return new stepError.StepError(message, { code, step: "peer.call", peer: vmName, execution });
}
