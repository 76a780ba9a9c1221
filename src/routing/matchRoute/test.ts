import tap from "tap";

import * as routing from "../index.js";
import * as fixtures from "../_lib/fixtures/index.js";

const table = routing.createRoutingTable(
  fixtures.configuration({
    routes: [
      fixtures.route({ name: "wide", host: "a.example", pathPrefix: "/x/" }),
      fixtures.route({ name: "narrow", host: "a.example", pathPrefix: "/x/y/" }),
      fixtures.route({ name: "other", host: "b.example", pathPrefix: "/x/" }),
    ],
  }),
);

tap.test(
  "the longest matching prefix of the host is selected in any order of routes",
  async (t) => {
    t.equal(routing.matchRoute(table, "a.example", "/x/y/z")?.name, "narrow");
    t.equal(routing.matchRoute(table, "a.example", "/x/q")?.name, "wide");
    t.equal(routing.matchRoute(table, "b.example", "/x/y/z")?.name, "other");
  },
);

tap.test("case and port of the host are ignored", async (t) => {
  t.equal(routing.matchRoute(table, "A.Example:8080", "/x/q")?.name, "wide");
});

tap.test("the query is ignored", async (t) => {
  t.equal(routing.matchRoute(table, "a.example", "/x/?p=/x/y/")?.name, "wide");
  t.equal(routing.matchRoute(table, "a.example", "/z?p=/x/"), undefined);
});

tap.test("routes of another host or prefix do not match", async (t) => {
  t.equal(routing.matchRoute(table, "c.example", "/x/"), undefined);
  t.equal(routing.matchRoute(table, "a.example", "/xy"), undefined);
});
