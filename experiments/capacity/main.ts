import "reflect-metadata";

import * as commander from "commander";

import * as formatTable from "./_lib/formatTable/index.js";
import * as measureAccounts from "./measureAccounts/index.js";
import * as measureCatalogue from "./measureCatalogue/index.js";
import * as measureLargeMembership from "./measureLargeMembership/index.js";
import * as measureLeases from "./measureLeases/index.js";
import * as measureMembership from "./measureMembership/index.js";
import * as measurePeers from "./measurePeers/index.js";

/** One table of the report. */
interface Section {
  readonly title: string;
  readonly columns: readonly string[];
  readonly fittedColumns: readonly string[];
  /** Values of the independent variable, from which the first column is derived. */
  readonly values: readonly number[];
  readonly measure: (value: number) => Promise<formatTable.Row>;
}

const SECTIONS: Readonly<Record<string, Section>> = {
  peers: {
    title: "Token frames between two VMs",
    columns: measurePeers.PEER_COLUMNS,
    fittedColumns: measurePeers.FITTED_PEER_COLUMNS,
    values: [1, 4, 16, 64],
    measure: measurePeers.measurePeers,
  },
  leases: {
    title: "Appends of leases",
    columns: measureLeases.LEASE_COLUMNS,
    fittedColumns: measureLeases.LEASE_COLUMNS.slice(1),
    values: [1, 8, 19, 38, 76],
    measure: measureLeases.measureLeases,
  },
  members: {
    title: "Heartbeats at rest, in 19 data centres",
    columns: measureMembership.MEMBERSHIP_COLUMNS,
    fittedColumns: measureMembership.MEMBERSHIP_COLUMNS.slice(1, -1),
    values: [2, 4, 6, 8, 10],
    measure: (vmsPerDataCentre) =>
      measureMembership.measureMembership({ dataCentresCount: 19, vmsPerDataCentre }),
  },
  large: {
    title: "Heartbeats at rest, in 19 data centres, on the virtual clock",
    columns: measureLargeMembership.LARGE_MEMBERSHIP_COLUMNS,
    fittedColumns: measureLargeMembership.LARGE_MEMBERSHIP_COLUMNS.slice(1, -1),
    values: [2, 5, 10, 15, 25],
    measure: measureLargeMembership.measureLargeMembership,
  },
  accounts: {
    title: "Account limits among 8 VMs",
    columns: measureAccounts.ACCOUNT_COLUMNS,
    fittedColumns: measureAccounts.ACCOUNT_COLUMNS.slice(1),
    values: [0, 250, 500, 1_000],
    measure: measureAccounts.measureAccounts,
  },
  catalogue: {
    title: "Changes of the catalogue, in 3 data centres",
    columns: measureCatalogue.CATALOGUE_COLUMNS,
    fittedColumns: measureCatalogue.CATALOGUE_COLUMNS.slice(1),
    values: [2, 4, 6, 8],
    measure: (vmsPerDataCentre) =>
      measureCatalogue.measureCatalogue({ dataCentresCount: 3, vmsPerDataCentre }),
  },
};

const program = new commander.Command("measure:capacity")
  .description("Measures the control plane cost per VM, fits lines to it and prints Markdown.")
  .argument("[sections...]", `sections to measure: ${Object.keys(SECTIONS).join(", ")}`)
  .option(
    "--values <numbers>",
    "comma-separated values to measure at, instead of the section's defaults",
  )
  .action(async (names: string[], options: { readonly values?: string }) => {
    const chosen = names.length > 0 ? names : Object.keys(SECTIONS);
    const values = options.values?.split(",").map(Number);
    for (const name of chosen) await printSection(name, values);
  });

await program.parseAsync();

async function printSection(name: string, values: readonly number[] | undefined): Promise<void> {
  const section = SECTIONS[name];
  if (section === undefined) throw new commander.InvalidArgumentError(`unknown section ${name}`);
  const rows: formatTable.Row[] = [];
  for (const value of values ?? section.values) rows.push(await section.measure(value));
  const { title, columns, fittedColumns } = section;
  process.stdout.write(`${formatTable.formatTable(title, columns, fittedColumns, rows)}\n`);
}
