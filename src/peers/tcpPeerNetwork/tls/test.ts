import tap from "tap";

import * as tcpFleet from "../../../../standins/peers/tcpFleet/index.js";
import * as testCertificates from "../../../../standins/peers/testCertificates/index.js";
import * as stepError from "../../../_lib/stepError/index.js";

const { FLEET_CERTIFICATES, OTHER_CERTIFICATES } = testCertificates;
const CALL = { timeoutMs: 5_000 };

tap.test("VMs with certificates of the same authority can connect", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const a = await fleet.start("a", { tls: FLEET_CERTIFICATES });
  const b = await fleet.start("b", { tls: FLEET_CERTIFICATES });
  b.register("echo", (params) => params);
  t.equal((await a.call("b", "echo", 1, CALL))._unsafeUnwrap(), 1);
});

tap.test(
  "a VM with a certificate of another authority, or without TLS, cannot connect",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const b = await fleet.start("b", { tls: FLEET_CERTIFICATES });
    let handledCount = 0;
    b.register("echo", () => (handledCount += 1));
    const trustsFleet = { ...OTHER_CERTIFICATES, ca: FLEET_CERTIFICATES.ca };
    for (const [name, tls] of Object.entries({ other: trustsFleet, plain: null })) {
      const stranger = await fleet.start(name, { tls });
      const error = (await stranger.call("b", "echo", 1, CALL))._unsafeUnwrapErr();
      t.equal(error.execution, stepError.ExecutionState.NotRun, name);
    }
    t.equal(handledCount, 0);
  },
);

tap.test(
  "a VM does not connect to one whose certificate was issued by another authority",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a", { tls: FLEET_CERTIFICATES });
    await fleet.start("b", { tls: OTHER_CERTIFICATES });
    t.ok((await a.call("b", "echo", 1, CALL)).isErr());
  },
);
