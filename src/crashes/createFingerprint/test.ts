import tap from "tap";

import * as fingerprints from "./index.js";

const REQUEST: fingerprints.RequestIdentity = {
  method: "POST",
  host: "a.example",
  target: "/lookup/7",
  accountName: "acme",
  body: Buffer.from("body"),
};

tap.test("attempts of one request have the same fingerprint", async (t) => {
  const again = { ...REQUEST, body: Buffer.from("body") };
  t.equal(fingerprints.createFingerprint(again), fingerprints.createFingerprint(REQUEST));
});

tap.test("requests that differ in one respect have different fingerprints", async (t) => {
  const others: readonly fingerprints.RequestIdentity[] = [
    REQUEST,
    { ...REQUEST, method: "PUT" },
    { ...REQUEST, host: "b.example" },
    { ...REQUEST, target: "/lookup/8" },
    { ...REQUEST, accountName: "other" },
    { ...REQUEST, accountName: null },
    { ...REQUEST, body: Buffer.from("body2") },
    { ...REQUEST, target: "/lookup/", body: Buffer.from("7body") },
  ];
  t.equal(new Set(others.map(fingerprints.createFingerprint)).size, others.length);
});
