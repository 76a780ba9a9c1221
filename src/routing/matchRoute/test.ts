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

tap.test("the longest prefix of the host wins, whatever the order", async (t) => {
  t.equal(routing.matchRoute(table, "a.example", "/x/y/z")?.name, "narrow");
  t.equal(routing.matchRoute(table, "a.example", "/x/q")?.name, "wide");
  t.equal(routing.matchRoute(table, "b.example", "/x/y/z")?.name, "other");
});

tap.test("case and port of the host do not matter", async (t) => {
  t.equal(routing.matchRoute(table, "A.Example:8080", "/x/q")?.name, "wide");
});

tap.test("a query does not take part in the match", async (t) => {
  t.equal(routing.matchRoute(table, "a.example", "/x/?p=/x/y/")?.name, "wide");
  t.equal(routing.matchRoute(table, "a.example", "/z?p=/x/"), undefined);
});

tap.test("no route of another host or prefix matches", async (t) => {
  t.equal(routing.matchRoute(table, "c.example", "/x/"), undefined);
  t.equal(routing.matchRoute(table, "a.example", "/xy"), undefined);
});
