import * as catalogue from "../../catalogue/types.js";

const PRIORITIES: Readonly<Record<catalogue.RequestClass, number>> = {
  [catalogue.RequestClass.Interactive]: 0,
  [catalogue.RequestClass.Streaming]: 1,
  [catalogue.RequestClass.Batch]: 2,
};

/**
 * Priority of a class of requests, for engines and for waiting work.
 *
 * @returns a rank; lower is more urgent
 */
export function priorityOf(requestClass: catalogue.RequestClass): number {
  return PRIORITIES[requestClass];
}
