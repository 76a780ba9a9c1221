import * as fs from "node:fs/promises";
import * as https from "node:https";
import * as path from "node:path";

import tap, { type Test } from "tap";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as loggers from "../../_lib/logger/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";
import * as testCertificates from "../../../standins/peers/testCertificates/index.js";
import * as counterModels from "../../../standins/telemetry/counters/index.js";
import * as renewal from "../_lib/renewCertificates.js";
import * as certificateFiles from "./index.js";

const { ca, cert, key } = testCertificates.FLEET_CERTIFICATES;

async function writeFiles(t: Test): Promise<certificateFiles.CertificatePaths> {
  const folder = t.testdir({});
  const paths = {
    certFile: path.join(folder, "cert.pem"),
    keyFile: path.join(folder, "key.pem"),
  };
  await fs.writeFile(paths.certFile, cert);
  await fs.writeFile(paths.keyFile, key);
  return paths;
}

function getStatus(url: string, trusted: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const options = { ca: trusted, checkServerIdentity: () => undefined };
    const request = https.get(url, options, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on("error", reject);
  });
}

tap.test(
  "a daemon with certificates accepts callers over TLS and rejects plain HTTP",
  async (t) => {
    const store = new disposableStore.DisposableStore();
    t.teardown(() => store[Symbol.asyncDispose]());
    const { certFile, keyFile } = await writeFiles(t);
    const callersYaml = `, tls: { certFile: "${certFile}", keyFile: "${keyFile}" }`;
    const { daemon } = await localDaemons.startLocalDaemon(store, { callersYaml });
    t.match(daemon.callerUrl, /^https:/);
    t.equal(await getStatus(`${daemon.callerUrl}/readyz`, ca), 200);
    await t.rejects(fetch(`${daemon.callerUrl.replace("https", "http")}/readyz`));
  },
);

tap.test(
  "changed certificates are applied once, and a failed load keeps those in use",
  async (t) => {
    const paths = await writeFiles(t);
    const renewed: string[] = [];
    const metrics = new counterModels.CounterModel();
    const first = await certificateFiles.readCertificates(paths);
    const listener = {
      name: "callers",
      paths,
      current: first,
      renew: (certificates: certificateFiles.Certificates) => renewed.push(certificates.cert),
    };
    const clock = new virtualClocks.VirtualClock();
    const parts = { clock, logger: loggers.NOOP_LOGGER, metrics };
    t.equal(await renewal.reloadIfChanged(listener, first, parts), first);
    t.same(renewed, [], "unchanged files are not applied again");
    await fs.writeFile(paths.certFile, `${cert}\n`);
    const second = await renewal.reloadIfChanged(listener, first, parts);
    t.equal(await renewal.reloadIfChanged(listener, second, parts), second);
    t.same(renewed, [`${cert}\n`]);
    await fs.rm(paths.keyFile);
    t.equal(await renewal.reloadIfChanged(listener, second, parts), second);
    t.equal(metrics.countOf("tls_renewal_failures"), 1);
  },
);
