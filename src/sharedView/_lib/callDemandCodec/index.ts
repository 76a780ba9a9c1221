import type * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

/** Encodes a VM's demand for a plain service for a datagram. */
export function encodeCallDemand(report: dispatch.CallDemandReport): datagrams.EncodedCallDemand {
  return {
    serviceName: report.serviceName,
    served: roundRate(report.servedPerSecond),
    refused: roundRate(report.refusedPerSecond),
    others: roundRate(report.otherPerSecond),
    accounts: [...report.byAccount].map(([name, perSecond]) => [name, roundRate(perSecond)]),
  };
}

/** Decodes a VM's demand for a plain service from a datagram. */
export function decodeCallDemand(encoded: datagrams.EncodedCallDemand): dispatch.CallDemandReport {
  return {
    serviceName: encoded.serviceName,
    servedPerSecond: encoded.served,
    refusedPerSecond: encoded.refused,
    otherPerSecond: encoded.others,
    byAccount: new Map(encoded.accounts),
  };
}

function roundRate(perSecond: number): number {
  return Math.round(perSecond * 100) / 100;
}
