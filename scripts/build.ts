import { join } from "node:path";
import { warmUp } from "../platform/warmUp.ts";
import { bundle, PROGRAMS } from "./bundle.ts";

/** The product on the users' platform; see docs/design/platform.md. */
const PLATFORM = { "burdockpass-platform": "platform/main.ts" };

// Compiles the programs: `build.ts [FOLDER [platform]]`; see README.md.
const [outDir = "target", which] = process.argv.slice(2);
await bundle(outDir, which === "platform" ? PLATFORM : { ...PROGRAMS, ...PLATFORM });
try {
  await warmUp(join(outDir, "burdockpass-platform.cjs"));
} catch (err) {
  // Programs start without a code cache as well, in twice the time.
  console.error("no code cache was made:", err instanceof Error ? err.message : err);
}
