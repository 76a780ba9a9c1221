import tap from "tap";

import * as connectionOrders from "./index.js";

tap.test("only the answer to the last request of a connection closes it", (t) => {
  const order = new connectionOrders.ConnectionOrder();
  const [connection, first, second] = [{}, {}, {}];
  t.ok(order.add(connection, first));
  t.ok(order.add(connection, second));
  t.notOk(order.close(connection, first));
  t.ok(order.close(connection, second));
  t.ok(order.close({}, first), "also on a connection that is not known");
  t.end();
});

tap.test("a request behind an answer that closes its connection cannot be answered", (t) => {
  const order = new connectionOrders.ConnectionOrder();
  const [connection, first, second] = [{}, {}, {}];
  order.add(connection, first);
  t.ok(order.close(connection, first));
  t.notOk(order.add(connection, second));
  t.ok(order.add({}, second), "other connections are not affected");
  t.end();
});
