import tap from "tap";

import * as chunkLists from "./index.js";

tap.test("an answer of one-byte chunks does not cost an object for each byte", async (t) => {
  const list = new chunkLists.ChunkList();
  const sent = Buffer.from(Array.from({ length: 100_000 }, (_, index) => index % 251));
  for (let at = 0; at < sent.length; at += 1) list.push(Buffer.from(sent.subarray(at, at + 1)));
  t.equal(list.sizeBytes, sent.length);
  const chunks = list.take();
  t.ok(chunks.length < 10, `${chunks.length} chunks`);
  t.ok(chunkLists.joinChunks(chunks).equals(sent));
  t.equal(list.sizeBytes, 0);
});

tap.test("small and large chunks keep their order, and large ones are not copied", async (t) => {
  const list = new chunkLists.ChunkList();
  const large = Buffer.alloc(20_000, "l");
  for (const chunk of [Buffer.from("first"), Buffer.from("a"), large, Buffer.from("b")])
    list.push(chunk);
  const chunks = list.take();
  t.equal(chunkLists.joinChunks(chunks).toString(), `firsta${large.toString()}b`);
  t.ok(chunks.includes(large));
  t.equal(chunkLists.joinChunks([]).length, 0);
});

tap.test("a body of known size is not copied together at its end", async (t) => {
  const list = new chunkLists.ChunkList();
  const large = Buffer.alloc(20_000, "l");
  for (const chunk of [Buffer.from("first"), Buffer.from("a"), large]) list.push(chunk);
  list.gather(5 + 1 + 20_000 + 20_000 + 1);
  for (const chunk of [large, Buffer.from("b")]) list.push(chunk);
  const chunks = list.take();
  t.equal(chunks.length, 1);
  const text = large.toString();
  t.equal(chunkLists.joinChunks(chunks).toString(), `firsta${text}${text}b`);
  t.same(list.take(), []);
});

tap.test("what exceeds a wrong size is kept too", async (t) => {
  const list = new chunkLists.ChunkList();
  list.push(Buffer.from("ab"));
  list.gather(3);
  const long = "d".repeat(30_000);
  for (const text of ["c", long, "e"]) list.push(Buffer.from(text));
  t.equal(chunkLists.joinChunks(list.take()).toString(), `abc${long}e`);
});
