import { cpSync, rmSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build, type BuildOptions } from "esbuild";
import { trimLibraries } from "./trimLibraries.ts";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** Programs that make up the product, by their names. */
export const PROGRAMS = {
  burdockpassd: "src/daemon/main.ts",
  burdockpass: "src/cli/main.ts",
} as const;

/** Starts a program with its code cache; see {@link file://../src/launcher/runCached.ts}. */
const LAUNCHER = "src/launcher/main.ts";

/** Optional parts of libraries that are looked for at run time, and done without. */
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
 * Compiles each program into one file, `NAME.program.js`, and the launcher `NAME.cjs`
 * that runs it, under `outDir`, with the protocol definitions beside them: a process
 * then starts with one read instead of a thousand, and no compiler. They are CommonJS,
 * since Node has no way to give an ES module a code cache.
 */
export async function bundle(
  outDir: string,
  programs: Readonly<Record<string, string>> = PROGRAMS,
): Promise<void> {
  rmSync(outDir, { recursive: true, force: true });
  const names = Object.keys(programs);
  const code = Object.fromEntries(names.map((n) => [`${n}.program`, programs[n] ?? ""]));
  const launchers = Object.fromEntries(names.map((n) => [n, LAUNCHER]));
  await Promise.all([
    build({ ...OPTIONS, entryPoints: code, outdir: outDir }),
    build({
      ...OPTIONS,
      entryPoints: launchers,
      outdir: outDir,
      outExtension: { ".js": ".cjs" },
    }),
  ]);
  cpSync(join(ROOT, "proto"), join(outDir, "proto"), { recursive: true });
}
