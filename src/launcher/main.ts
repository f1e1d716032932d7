import { fileURLToPath } from "node:url";
import { runCached } from "./runCached.ts";

// Starts the compiled program beside this file: `NAME.cjs` runs `NAME.program.js`.
runCached(fileURLToPath(import.meta.url).replace(/\.cjs$/, ".program.js"));
