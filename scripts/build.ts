import { bundle } from "./bundle.ts";

// Compiles the programs into target/; see README.md.
await bundle(process.argv[2] ?? "target");
