import * as stepError from "../../_lib/stepError/index.js";
import * as constants from "../constants.js";

/** A failure that ends the command with a message and an exit code, and without a stack trace. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly exitCode: constants.ExitCode,
  ) {
    super(message);
    this.name = "CliError";
  }
}

const EXIT_CODE_BY_ERROR_CODE: Readonly<Partial<Record<stepError.ErrorCode, constants.ExitCode>>> =
  {
    [stepError.ErrorCode.Conflict]: constants.ExitCode.Conflict,
    [stepError.ErrorCode.NotFound]: constants.ExitCode.NotFound,
    [stepError.ErrorCode.InvalidRequest]: constants.ExitCode.Usage,
    [stepError.ErrorCode.Unauthenticated]: constants.ExitCode.Forbidden,
    [stepError.ErrorCode.Forbidden]: constants.ExitCode.Forbidden,
    [stepError.ErrorCode.PeerUnreachable]: constants.ExitCode.Unavailable,
  };

/** Converts the failure of a step at a daemon to a message for the user and an exit code. */
export function toCliError(error: stepError.StepError): CliError {
  const place = error.peer === undefined ? error.step : `${error.step} at ${error.peer}`;
  const exitCode = EXIT_CODE_BY_ERROR_CODE[error.code] ?? constants.ExitCode.Failure;
  return new CliError(`${place}: ${error.message} (${error.execution})`, exitCode);
}
