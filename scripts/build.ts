import { bundle, PROGRAMS } from "./bundle.ts";

/** The product on the users' platform; see docs/design/platform.md. */
const PLATFORM = { "burdockpass-platform": "platform/main.ts" };

// Compiles the programs: `build.ts [FOLDER [platform]]`; see README.md.
const [outDir = "target", which] = process.argv.slice(2);
await bundle(outDir, which === "platform" ? PLATFORM : { ...PROGRAMS, ...PLATFORM });
