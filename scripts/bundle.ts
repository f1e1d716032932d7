import { rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build, type BuildOptions } from "esbuild";
import { trimLibraries } from "./trimLibraries.ts";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** The product's programs, by name, with their sources. */
export const PROGRAMS = {
  burdockpassd: "src/daemon/main.ts",
  burdockpass: "src/cli/main.ts",
} as const;

/** Starts a compiled program with its code cache; see {@link file://../src/launcher/runCached.ts}. */
const LAUNCHER = "src/launcher/main.ts";

/** Optional dependencies of libraries, which try to load them at run time and work without them. */
const OPTIONAL = ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"];

const OPTIONS: BuildOptions = {
  absWorkingDir: ROOT,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: true,
  external: OPTIONAL,
  plugins: [trimLibraries],
  define: { "import.meta.url": "__importMetaUrl" },
  banner: {
    js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
  },
  logLevel: "warning",
};

/**
 * Compiles each program into one file, `NAME.program.js`, with a launcher, `NAME.cjs`, that runs it, in the directory
 * `outDir`, whose previous contents are removed. A process then reads one file at its start instead of a thousand, and
 * needs no compiler. The output is CommonJS, since Node has no way to use a code cache for an ES module. `options`
 * replace some of esbuild's: code that is not minified makes CPU profiles readable.
 */
export async function bundle(
  outDir: string,
  programs: Readonly<Record<string, string>> = PROGRAMS,
  options: Pick<BuildOptions, "minify"> = {},
): Promise<void> {
  rmSync(outDir, { recursive: true, force: true });
  const names = Object.keys(programs);
  const code = Object.fromEntries(names.map((n) => [`${n}.program`, programs[n] ?? ""]));
  const launchers = Object.fromEntries(names.map((n) => [n, LAUNCHER]));
  await Promise.all([
    build({ ...OPTIONS, ...options, entryPoints: code, outdir: outDir }),
    build({
      ...OPTIONS,
      entryPoints: launchers,
      outdir: outDir,
      outExtension: { ".js": ".cjs" },
    }),
  ]);
}
