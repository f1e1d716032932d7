import { join } from "node:path";
import type { Plugin } from "esbuild";

/**
 * Leaves out of compiled programs what they never use of their libraries and would still
 * read at every start: undici's fetch, WebSocket, mocks and caches (0.3 MB), and zod's
 * messages in languages but English (0.26 MB). 0.48 s to 0.38 s of processor time a start.
 */
export const trimLibraries: Plugin = {
  name: "trim-libraries",
  setup(build) {
    build.onLoad({ filter: /node_modules\/undici\/index\.js$/ }, ({ path }) => ({
      loader: "js",
      resolveDir: join(path, ".."),
      contents: UNDICI,
    }));
    // Only used with bodies that are forms or streams of the web, of which there are none here.
    build.onLoad({ filter: /node_modules\/undici\/lib\/web\// }, () => ({
      loader: "js",
      contents: "module.exports = {};",
    }));
    build.onLoad({ filter: /node_modules\/zod\/v4\/locales\/index\.js$/ }, ({ path }) => ({
      loader: "js",
      resolveDir: join(path, ".."),
      contents: 'export { default as en } from "./en.js";',
    }));
  },
};

/** The part of undici that our programs import. */
const UNDICI = `
const Dispatcher = require("./lib/dispatcher/dispatcher");
const Pool = require("./lib/dispatcher/pool");
Object.assign(Dispatcher.prototype, require("./lib/api"));
module.exports = { Pool };
`;
