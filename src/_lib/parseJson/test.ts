import tap from "tap";

import * as json from "./index.js";

tap.test("JSON gives its value, anything else undefined", async (t) => {
  t.same(json.parseJson('{"a":[1]}'), { a: [1] });
  t.equal(json.parseJson("{"), undefined);
  t.equal(json.parseJson(""), undefined);
});
