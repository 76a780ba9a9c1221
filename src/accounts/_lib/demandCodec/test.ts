import * as fc from "fast-check";
import tap from "tap";

import * as accountShare from "../accountShare/index.js";
import * as demandCodec from "./index.js";

const amount = fc.double({ min: 0, max: 1e9, noNaN: true });
const share = fc.record({
  requestsPerSecond: amount,
  concurrentRequests: fc.nat(1_000),
  tokensPerSecond: amount,
});

tap.test("encoding never increases a granted share and never decreases a held one", async (t) => {
  fc.assert(
    fc.property(share, fc.nat(), (sent, sequence) => {
      const shares = demandCodec.decodeShares(demandCodec.encodeShares(new Map([["a", sent]])));
      const demand = { wanted: sent, held: sent, sequence };
      const params = demandCodec.encodeDemands(sequence, new Map([["a", demand]]));
      const received = demandCodec.decodeDemands(params)?.get("a");
      return accountShare.SHARE_FIELDS.every((field) => {
        const granted = shares!.get("a")![field];
        return granted <= sent[field] && received!.held[field] >= sent[field];
      });
    }),
    { seed: 72, numRuns: 500 },
  );
  t.pass();
});

tap.test("decoding any JSON value does not throw, and negative amounts are refused", async (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      demandCodec.decodeDemands(value);
      demandCodec.decodeShares(value);
    }),
    { seed: 73, numRuns: 2_000 },
  );
  const negative = [1, [["a", [-1, 0, 0], [0, 0, 0]]]];
  t.equal(demandCodec.decodeDemands(negative), undefined);
  t.equal(demandCodec.decodeShares([["a", [0, 0, -1]]]), undefined);
});
