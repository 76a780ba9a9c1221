import tap from "tap";

import * as json from "./index.js";

tap.test("valid JSON is parsed, anything else is undefined", async (t) => {
  t.same(json.parseJson('{"a":[1]}'), { a: [1] });
  t.equal(json.parseJson("{"), undefined);
  t.equal(json.parseJson(""), undefined);
});
