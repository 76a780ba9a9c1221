import * as catalogue from "../../catalogue/types.js";

const PRIORITIES: Readonly<Record<catalogue.RequestClass, number>> = {
  [catalogue.RequestClass.Interactive]: 0,
  [catalogue.RequestClass.Streaming]: 1,
  [catalogue.RequestClass.Batch]: 2,
};

/**
 * Returns the priority of a request class, for engines and waiting queues.
 *
 * @returns 0 is the most urgent
 */
export function priorityOf(requestClass: catalogue.RequestClass): number {
  return PRIORITIES[requestClass];
}
