import type * as commander from "commander";
import * as zod from "zod";

import * as output from "../_lib/output.js";
import * as gatewayClients from "../gatewayClient/index.js";
import type * as types from "../types.js";

const description = zod.object({
  vmName: zod.string(),
  dataCentre: zod.string(),
  viewAgeMs: zod.number().nullable(),
  evacuations: zod.array(
    zod.object({
      dataCentre: zod.string(),
      knownSince: zod.string(),
      knownForMs: zod.number(),
    }),
  ),
});

type Description = zod.infer<typeof description>;

interface EvacuationsOptions extends Pick<types.CommonOptions, "json"> {
  readonly gateway: string;
}

/** Adds `chiveferry evacuations`: lists the evacuated data centres as one gateway knows them. */
export function addEvacuationsCommand(program: commander.Command, context: types.CliContext): void {
  program
    .command("evacuations")
    .description("list the data centres whose servers get nothing new, as a gateway knows them")
    .requiredOption("--gateway <host:port>", "metrics address of any gateway")
    .option("--json", "print the result as JSON")
    .action(async (options: EvacuationsOptions) => {
      const value = await gatewayClients.readGateway(options.gateway, "/evacuations", description);
      output.writeResult(context, options, value, () => format(value));
    });
}

function format({ vmName, viewAgeMs, evacuations }: Description): string {
  const age = viewAgeMs === null ? "never" : `${output.formatDuration(viewAgeMs)} ago`;
  const source = `${vmName}, confirmed by the store: ${age}\n`;
  if (evacuations.length === 0) return `no data centre is evacuated (${source.trimEnd()})\n`;
  const rows = evacuations.map(({ dataCentre, knownSince, knownForMs }) => [
    dataCentre,
    knownSince,
    output.formatDuration(knownForMs),
  ]);
  return output.formatTable(["DATA CENTRE", "KNOWN SINCE", "FOR"], rows) + source;
}
