import { cpSync, rmSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** Programs that make up the product, by their names. */
export const PROGRAMS = {
  burdockpassd: "src/daemon/main.ts",
  burdockpass: "src/cli/main.ts",
} as const;

/** Optional parts of libraries that are looked for at run time, and done without. */
const OPTIONAL = ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"];

/** Libraries of CommonJS make calls of `require`, which an ES module has to be given. */
const BANNER = `import { createRequire as __createRequire } from "node:module";
const require = __createRequire(import.meta.url);
const __filename = new URL(import.meta.url).pathname;
const __dirname = new URL(".", import.meta.url).pathname;`;

/**
 * Compiles programs into one file each under `outDir`, with the protocol definitions
 * beside them: a process then starts with one read instead of a thousand, and no
 * compiler. Rarely used parts become files of their own, read when they are needed.
 */
export async function bundle(
  outDir: string,
  programs: Readonly<Record<string, string>> = PROGRAMS,
): Promise<void> {
  rmSync(outDir, { recursive: true, force: true });
  await build({
    absWorkingDir: ROOT,
    entryPoints: { ...programs },
    outdir: outDir,
    outExtension: { ".js": ".mjs" },
    bundle: true,
    splitting: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    keepNames: true,
    external: OPTIONAL,
    banner: { js: BANNER },
    logLevel: "warning",
  });
  cpSync(join(ROOT, "proto"), join(outDir, "proto"), { recursive: true });
}
