import type * as settings from "../../src/settings/index.js";
import type * as worlds from "../../standins/world/index.js";
import type * as types from "../types.js";
import * as scenarioVms from "./scenarioVm/index.js";

const LOOPBACK = "127.0.0.1";

const REGION = "scenario";

const FLEET_KEY = "a-key-that-all-vms-of-a-scenario-share";

/** Returns the key of an operator or account in a scenario. */
export function deriveKey(name: string): string {
  return `key-of-${name}`;
}

/** Lists the names of the operators whose keys a scenario uses. */
export function listOperators(scenario: types.Scenario): readonly string[] {
  const named = scenario.steps.flatMap((step) => (step.do === "apply" ? [step.operator] : []));
  return [...new Set(["operator", ...named])];
}

/** Creates the settings of one VM of a scenario, in the form of a settings file. */
export function createVmSettings(
  scenario: types.Scenario,
  name: string,
  ports: ReadonlyMap<string, scenarioVms.VmPorts>,
  world: worlds.StandInWorld,
): settings.SettingsInput {
  const identities = scenario.vms.map((vm) => ({
    name: vm.name,
    region: REGION,
    dataCentre: vm.dataCentre,
    peerAddress: LOOPBACK,
    peerPort: ports.get(vm.name)?.peerPort ?? 0,
    heartbeatPort: ports.get(vm.name)?.heartbeatPort ?? 0,
  }));
  const self = identities.find((identity) => identity.name === name);
  if (self === undefined) throw new Error(`the scenario declares no VM ${name}`);
  const dataCentres = [...new Set(scenario.vms.map((vm) => vm.dataCentre))];
  return {
    vm: self,
    callers: { address: LOOPBACK, port: 0 },
    admin: {
      address: LOOPBACK,
      port: 0,
      operatorKeys: listOperators(scenario).map((operator) => ({
        operator,
        keyHash: scenarioVms.hashKey(deriveKey(operator)),
      })),
    },
    fleet: {
      key: FLEET_KEY,
      regions: [{ name: REGION, dataCentres }],
      seedPeers: identities.filter((identity) => identity.name !== name),
    },
    platform: {
      logUrls: [world.log.url],
      vmListUrl: world.vmList.url,
      weightStoreUrl: world.weightStore.url,
      requestTimeoutMs: 1_000,
      longPollMs: 2_000,
      vmListIntervalMs: 500,
    },
    limits: { maxBodyBytes: 65_536 },
    logging: { level: "fatal" },
    shutdown: { balancerNoticeMs: 200, graceMs: 30_000 },
  };
}
