import tap from "tap";

import * as fleetTypes from "../../fleet/types.js";
import * as generations from "../index.js";

tap.test("a member that leaves is not used as a home", (t) => {
  const members = ["a", "b"].map((name) => ({
    name,
    region: "r",
    dataCentre: "dc1",
    peerAddress: "127.0.0.1",
    peerPort: 1,
    heartbeatPort: 1,
    incarnation: 1,
    state: name === "a" ? fleetTypes.MemberState.Leaving : fleetTypes.MemberState.Live,
  }));
  t.equal(generations.selectHome({ name: "e1", dataCentre: "dc1" }, members), "b");
  t.end();
});
