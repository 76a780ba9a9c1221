import tap from "tap";

import * as keys from "./index.js";

tap.test("a key matches only its own hash", (t) => {
  const hashes = [keys.hashKey("first"), keys.hashKey("second")];
  t.ok(keys.isKeyAmong("second", hashes));
  t.notOk(keys.isKeyAmong("third", hashes));
  t.notOk(keys.isKeyAmong("", []));
  t.end();
});

tap.test("a malformed hash matches no key", (t) => {
  t.notOk(keys.isKeyAmong("first", ["", "zz", keys.hashKey("first").slice(2)]));
  t.end();
});
