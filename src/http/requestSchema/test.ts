import * as fastCheck from "fast-check";
import tap from "tap";

import * as schemas from "./index.js";

function parse(text: string): string {
  return schemas.parseCompletionBody(Buffer.from(text)).match(
    () => "accepted",
    (error) => error.message,
  );
}

tap.test("a valid body is accepted", (t) => {
  const body = '{"model":"draft","prompt":"a","max_tokens":5,"stream":true}';
  t.equal(parse(body), "accepted");
  t.end();
});

tap.test("the error names every invalid field", (t) => {
  const message = parse('{"model":7,"prompt":"","max_tokens":-1,"colour":"red"}');
  for (const name of ["model", "prompt", "max_tokens", "colour"]) t.match(message, name);
  t.end();
});

tap.test("a body that is not JSON is refused as such", (t) => {
  t.match(parse("{"), /not JSON/);
  t.end();
});

tap.test("parsing arbitrary bytes never throws", (t) => {
  fastCheck.assert(
    fastCheck.property(fastCheck.uint8Array(), (bytes) => {
      schemas.parseCompletionBody(bytes);
    }),
    { seed: 1 },
  );
  t.end();
});

tap.test("an answer resumes after the token that Last-Event-ID names", (t) => {
  t.equal(schemas.parseLastEventId("r1:41", "r1")._unsafeUnwrap(), 42);
  t.equal(schemas.parseLastEventId(undefined, "r1")._unsafeUnwrap(), 0);
  t.ok(schemas.parseLastEventId("r2:41", "r1").isErr());
  t.ok(schemas.parseLastEventId("r1:x", "r1").isErr());
  t.end();
});

tap.test("an idempotency key must be printable and at most 200 characters long", (t) => {
  t.equal(schemas.parseIdempotencyKey("permit-7")._unsafeUnwrap(), "permit-7");
  t.equal(schemas.parseIdempotencyKey(undefined)._unsafeUnwrap(), null);
  t.ok(schemas.parseIdempotencyKey("").isErr());
  t.ok(schemas.parseIdempotencyKey("a b").isErr());
  t.ok(schemas.parseIdempotencyKey("k".repeat(201)).isErr());
  t.end();
});
