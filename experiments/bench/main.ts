import * as calls from "./calls/index.js";
import * as decisions from "./decisions/index.js";
import * as relay from "./relay/index.js";

type Bench = () => void | Promise<void>;

const BENCHES: Readonly<Record<string, Bench>> = {
  calls: calls.benchCalls,
  decisions: decisions.benchDecisions,
  relay: relay.benchRelay,
};

const name = process.argv[2] ?? "decisions";
const bench = BENCHES[name];
if (bench === undefined) {
  process.stderr.write(
    `unknown benchmark ${name}; available: ${Object.keys(BENCHES).join(", ")}\n`,
  );
  process.exitCode = 1;
} else await bench();
