import type * as http from "node:http";

/** Statuses of final answers, as far as they are defined. */
const FINAL_STATUSES = { min: 200, max: 599 } as const;

/** Names and values of headers that can be written. */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** The parts of a received head that are checked, whichever peer has sent it. */
export interface OutsideHead {
  readonly status: number;
  /** Whether its headers can be written again. */
  readonly isWritable: boolean;
}

/** Returns why a response head is invalid as a final HTTP response; null if it is valid. */
export function findAnswerFault({ status, isWritable }: OutsideHead): string | null {
  if (status < FINAL_STATUSES.min || status > FINAL_STATUSES.max)
    return `status ${status} of no final answer`;
  return isWritable ? null : "header that cannot be written";
}

/** Returns why a received message is invalid as a final HTTP response; null if it is valid. */
export function findMessageFault(message: http.IncomingMessage): string | null {
  const isWritable = areHeadersWritable(message.rawHeaders);
  return findAnswerFault({ status: message.statusCode ?? 0, isWritable });
}

/** Whether headers, as alternating names and values, can be written; Node throws at others. */
export function areHeadersWritable(headers: readonly string[]): boolean {
  return headers.every((text, at) => (at % 2 === 0 ? HEADER_NAME : HEADER_VALUE).test(text));
}
