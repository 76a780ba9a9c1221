// Bundles the gateway and its dependencies into two files. A VM then loads and compiles them instead of
// about six hundred, and accepts callers in less than half the time after a restart. The first file only
// installs the handlers of signals and errors; it loads the second afterwards. It is CommonJS, as Node runs that
// at once, and an ES module only after it has started the loader of ES modules.
import * as path from "node:path";

import * as esbuild from "esbuild";

/** Optional packages of dependencies, loaded at run time if installed and so not bundled. */
const OPTIONAL_LIBRARIES = ["dtrace-provider", "mv", "source-map-support"];

/** Defines `require` for bundled CommonJS dependencies, as ES modules do not provide it. */
const REQUIRE =
  'import { createRequire as requireFrom } from "node:module"; const require = requireFrom(import.meta.url);';

const [entryFile = "target/gateway.cjs", gatewayFile = "target/gateway.js"] = process.argv.slice(2);
const gatewayPath = `./${path.relative(path.dirname(entryFile), gatewayFile)}`;

/** Lets the entry refer to the second file; bundled into one, that would be compiled before the first instruction. */
const SEPARATE_GATEWAY = {
  name: "separate-gateway",
  setup(build) {
    build.onResolve({ filter: /runGateway/ }, ({ kind }) =>
      kind === "dynamic-import" ? { path: gatewayPath, external: true } : undefined,
    );
  },
};

const OPTIONS = {
  bundle: true,
  platform: "node",
  target: "node20",
  external: OPTIONAL_LIBRARIES,
  logLevel: "warning",
};

await esbuild.build({
  ...OPTIONS,
  format: "esm",
  entryPoints: ["platform/runGateway/index.ts"],
  outfile: gatewayFile,
  banner: { js: REQUIRE },
});
await esbuild.build({
  ...OPTIONS,
  format: "cjs",
  entryPoints: ["platform/main.ts"],
  outfile: entryFile,
  plugins: [SEPARATE_GATEWAY],
});
