import type * as commander from "commander";

import * as catalogue from "../../catalogue/index.js";
import type * as http from "../../http/index.js";
import type * as adminClients from "../adminClient/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as commonOptions from "../_lib/commonOptions.js";
import * as output from "../_lib/output.js";
import * as planning from "../_lib/planChanges.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

interface TopOptions extends types.CommonOptions {
  readonly count?: string;
}

interface DrainOptions extends types.CommonOptions {
  readonly undo?: boolean;
}

const CLEAR_SCREEN = "\u001b[2J\u001b[H";

/** Adds `chiveferry nodes|backends|queue|top`, which show the state of the fleet, and `drain`. */
export function addFleetCommands(program: commander.Command, context: types.CliContext): void {
  addListCommand(program, context, "nodes", "list the VMs of the fleet", listNodes);
  addListCommand(
    program,
    context,
    "backends",
    "list the backend servers and their state",
    listBackends,
  );
  addListCommand(
    program,
    context,
    "queue",
    "list the waiting generations, each with what it waits for",
    listQueue,
  );
  commonOptions
    .addCommonOptions(program.command("drain <kind> <name>"), context)
    .description(
      "set an engine, service or vm (the kind) to draining in the catalogue: it gets no new work",
    )
    .option("--undo", "set it to active again")
    .action((kind: string, name: string, options: DrainOptions) =>
      drain(context, kind, name, options),
    );
  commonOptions
    .addCommonOptions(program.command("top"), context)
    .description("show the state of the fleet, redrawn every second")
    .option("--count <number>", "exit after this many redraws")
    .action((options: TopOptions) => showTop(context, options));
}

type ListFetcher = (client: adminClients.AdminClient) => Promise<ListResult>;

interface ListResult {
  readonly value: unknown;
  readonly missingVms: readonly string[];
  readonly text: string;
}

function addListCommand(
  program: commander.Command,
  context: types.CliContext,
  name: string,
  description: string,
  fetchList: ListFetcher,
): void {
  commonOptions
    .addCommonOptions(program.command(name), context)
    .description(description)
    .action(async (options: types.CommonOptions) => {
      const result = await fetchList(await context.createClient(options));
      output.warnOfMissingVms(context, result.missingVms);
      output.writeResult(context, options, result.value, () => result.text);
    });
}

async function listNodes(client: adminClients.AdminClient): Promise<ListResult> {
  const nodes = await client.listNodes();
  const rows = nodes.value.map((node) => [
    node.name,
    node.region,
    node.dataCentre,
    node.state,
    node.incarnation,
    node.appliedOffset ?? "-",
  ]);
  const headings = ["VM", "REGION", "DATA CENTRE", "STATE", "INCARNATION", "CATALOGUE"];
  return { ...nodes, text: output.formatTable(headings, rows) };
}

async function listBackends(client: adminClients.AdminClient): Promise<ListResult> {
  const backends = await client.listBackends();
  const rows = backends.value.map((backend) => [
    backend.name,
    backend.kind,
    backend.dataCentre,
    backend.state,
    backend.home ?? "-",
    formatRatio(backend.reservedRatio),
    backend.runningCount ?? "-",
    backend.detail,
  ]);
  const headings = [
    "BACKEND",
    "KIND",
    "DATA CENTRE",
    "STATE",
    "HOME",
    "RESERVED",
    "RUNNING",
    "DETAIL",
  ];
  return { ...backends, text: output.formatTable(headings, rows) };
}

async function listQueue(client: adminClients.AdminClient): Promise<ListResult> {
  const queue = await client.listQueue();
  const rows = queue.value.map((item) => [
    item.requestId,
    item.vm,
    item.entryName,
    item.accountName,
    output.formatDuration(item.waitedMs),
    item.producedTokens,
    item.reason,
  ]);
  const headings = ["REQUEST", "VM", "ENTRY", "ACCOUNT", "WAITED", "PRODUCED", "WAITS FOR"];
  return { ...queue, text: output.formatTable(headings, rows) };
}

async function drain(
  context: types.CliContext,
  kind: string,
  name: string,
  options: DrainOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const known = planning.findItem(await client.listItems(), kind, name);
  const state =
    options.undo === true ? catalogue.DesiredState.Active : catalogue.DesiredState.Draining;
  const item = withState(known?.item, kind, name, state);
  const [planned] = planning.planChanges(known === undefined ? [] : [known], [item]);
  const accepted = planned === undefined ? null : await client.proposeChange(planned.change);
  output.writeResult(context, options, { kind, name, state, accepted }, () => {
    const at = accepted === null ? "already" : `at revision ${accepted.revision}`;
    return `${kind}/${name} is ${state}, ${at}\n`;
  });
}

function withState(
  item: catalogue.CatalogueItem | undefined,
  kind: string,
  name: string,
  state: catalogue.DesiredState,
): catalogue.CatalogueItem {
  if (item !== undefined && "state" in item) return { ...item, state };
  if (kind === catalogue.ItemKind.Vm.toString())
    return { kind: catalogue.ItemKind.Vm, name, state };
  const message = `${kind}/${name} is not an engine, service or vm in the catalogue`;
  throw new cliErrors.CliError(message, constants.ExitCode.NotFound);
}

async function showTop(context: types.CliContext, options: TopOptions): Promise<void> {
  const client = await context.createClient(options);
  const maxCount = options.count === undefined ? Infinity : Number(options.count);
  if (Number.isNaN(maxCount)) {
    throw new cliErrors.CliError(
      `--count: expected a number of redraws, found "${options.count}"`,
      constants.ExitCode.Usage,
    );
  }
  for (let count = 1; count <= maxCount; count += 1) {
    await drawTop(context, client, options);
    if (count < maxCount) await context.clock.sleep(constants.TOP_REDRAW_INTERVAL_MS);
  }
}

async function drawTop(
  context: types.CliContext,
  client: adminClients.AdminClient,
  options: TopOptions,
): Promise<void> {
  const vm = await client.describeVm();
  const [nodes, backends, queue] = await Promise.all([
    listNodes(client),
    listBackends(client),
    listQueue(client),
  ]);
  const value = { vm, nodes: nodes.value, backends: backends.value, queue: queue.value };
  output.writeResult(context, options, value, () => {
    const heading = formatHeading(vm);
    return `${CLEAR_SCREEN}${heading}\n${nodes.text}\n${backends.text}\n${queue.text}`;
  });
}

function formatHeading(vm: http.VmDescription): string {
  const ready = vm.isReady ? "ready" : `not ready: ${vm.reason}`;
  return `${vm.vm.name} (${vm.vm.dataCentre}), ${ready}, up ${output.formatDuration(vm.upForMs)}, catalogue at ${vm.appliedOffset}\n`;
}

function formatRatio(ratio: number | null): string {
  return ratio === null ? "-" : `${Math.round(ratio * 100)} %`;
}
