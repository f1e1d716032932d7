import { join } from "node:path";
import { warmUp } from "../platform/warmUp.ts";
import { bundle, PROGRAMS } from "./bundle.ts";

/** The product on the users' platform; see docs/design/platform.md. */
const PLATFORM = { "burdockpass-platform": "platform/main.ts" };

// Compiles the programs into FOLDER: `build.ts [FOLDER [platform]]`; with `platform`, only the platform's. See README.md.
const [outDir = "target", which] = process.argv.slice(2);
await bundle(outDir, which === "platform" ? PLATFORM : { ...PROGRAMS, ...PLATFORM });
try {
  await warmUp(join(outDir, "burdockpass-platform.cjs"));
} catch (err) {
  // Programs also start without a code cache, in twice the time.
  console.error("could not write the code cache:", err instanceof Error ? err.message : err);
}
