#!/usr/bin/env node
// Runs the TypeScript sources directly through tsx, so no build step is needed.
import { register } from "tsx/esm/api";

register();
await import("../src/cli/main.ts");
