import { fileURLToPath } from "node:url";
import { runCached } from "./runCached.ts";

// Starts the compiled program in the same directory: `NAME.cjs` runs `NAME.program.js`.
runCached(fileURLToPath(import.meta.url).replace(/\.cjs$/, ".program.js"));
