import "reflect-metadata";

import * as commander from "commander";

import * as formatTable from "./_lib/formatTable/index.js";
import * as measureAccounts from "./measureAccounts/index.js";
import * as measureCatalogue from "./measureCatalogue/index.js";
import * as measureLeases from "./measureLeases/index.js";
import * as measureMembership from "./measureMembership/index.js";
import * as measurePeers from "./measurePeers/index.js";

/** One table of the page. */
interface Section {
  readonly title: string;
  readonly columns: readonly string[];
  readonly fittedColumns: readonly string[];
  readonly measureAll: () => Promise<formatTable.Row[]>;
}

const SECTIONS: Readonly<Record<string, Section>> = {
  peers: {
    title: "Token frames between two VMs",
    columns: measurePeers.PEER_COLUMNS,
    fittedColumns: measurePeers.FITTED_PEER_COLUMNS,
    measureAll: () => inTurn([1, 4, 16, 64], measurePeers.measurePeers),
  },
  leases: {
    title: "Appends of leases",
    columns: measureLeases.LEASE_COLUMNS,
    fittedColumns: measureLeases.LEASE_COLUMNS.slice(1),
    measureAll: () => inTurn([1, 8, 19, 38, 76], measureLeases.measureLeases),
  },
  members: {
    title: "Heartbeats at rest, in 19 data centres",
    columns: measureMembership.MEMBERSHIP_COLUMNS,
    fittedColumns: measureMembership.MEMBERSHIP_COLUMNS.slice(1),
    measureAll: () =>
      inTurn([2, 5, 10, 15, 20, 25], (vmsPerDataCentre) =>
        measureMembership.measureMembership({ dataCentresCount: 19, vmsPerDataCentre }),
      ),
  },
  accounts: {
    title: "Account limits among 8 VMs",
    columns: measureAccounts.ACCOUNT_COLUMNS,
    fittedColumns: measureAccounts.ACCOUNT_COLUMNS.slice(1),
    measureAll: () => inTurn([0, 250, 500, 1_000], measureAccounts.measureAccounts),
  },
  catalogue: {
    title: "Changes of the catalogue, in 3 data centres",
    columns: measureCatalogue.CATALOGUE_COLUMNS,
    fittedColumns: measureCatalogue.CATALOGUE_COLUMNS.slice(1),
    measureAll: () =>
      inTurn([2, 4, 6, 8], (vmsPerDataCentre) =>
        measureCatalogue.measureCatalogue({ dataCentresCount: 3, vmsPerDataCentre }),
      ),
  },
};

const program = new commander.Command("measure:capacity")
  .description("Measures what control costs a VM, and fits slopes; prints Markdown.")
  .argument("[sections...]", `which to measure: ${Object.keys(SECTIONS).join(", ")}`)
  .action(async (names: string[]) => {
    const chosen = names.length > 0 ? names : Object.keys(SECTIONS);
    for (const name of chosen) await printSection(name);
  });

await program.parseAsync();

async function printSection(name: string): Promise<void> {
  const section = SECTIONS[name];
  if (section === undefined) throw new commander.InvalidArgumentError(`no section ${name}`);
  const rows = await section.measureAll();
  const table = formatTable.formatTable(
    section.title,
    section.columns,
    section.fittedColumns,
    rows,
  );
  process.stdout.write(`${table}\n`);
}

async function inTurn(
  values: readonly number[],
  measure: (value: number) => Promise<formatTable.Row>,
): Promise<formatTable.Row[]> {
  const rows: formatTable.Row[] = [];
  for (const value of values) rows.push(await measure(value));
  return rows;
}
