import { join } from "node:path";
import type { Plugin } from "esbuild";

/**
 * Removes parts of libraries from compiled programs that they never use but would load at every start: undici's fetch,
 * WebSocket, mocks and caches, zod's messages in languages other than English, most of the operators of `most`,
 * prom-client's default metrics with the OpenTelemetry library, and the loader of .proto files.
 */
export const trimLibraries: Plugin = {
  name: "trim-libraries",
  setup(build) {
    build.onLoad({ filter: /node_modules\/undici\/index\.js$/ }, ({ path }) => ({
      loader: "js",
      resolveDir: join(path, ".."),
      contents: UNDICI,
    }));
    // Only used for bodies that are FormData or web streams, which the programs do not use.
    build.onLoad({ filter: /node_modules\/undici\/lib\/web\// }, () => ({
      loader: "js",
      contents: "module.exports = {};",
    }));
    build.onLoad({ filter: /node_modules\/most\/lib\/index\.js$/ }, ({ path }) => ({
      loader: "js",
      resolveDir: join(path, ".."),
      contents: MOST,
    }));
    build.onLoad({ filter: /node_modules\/prom-client\/index\.js$/ }, ({ path }) => ({
      loader: "js",
      resolveDir: join(path, ".."),
      contents: PROM_CLIENT,
    }));
    // Only used by gRPC's services for its own diagnostics, which are not started.
    build.onLoad({ filter: /node_modules\/@grpc\/proto-loader\// }, () => ({
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

/** The part of most that our programs import. */
const MOST = `
const Stream = require("./Stream").default;
const { periodic } = require("./source/periodic");
const { fromPromise } = require("./combinator/promises");
const { takeUntil } = require("./combinator/timeslice");
const { observe } = require("./combinator/observe");
Stream.prototype.until = function (signal) { return takeUntil(signal, this); };
Stream.prototype.observe = function (f) { return observe(f, this); };
module.exports = { periodic, fromPromise };
`;

/** The part of prom-client that our programs import. */
const PROM_CLIENT = `
module.exports = {
  Registry: require("./lib/registry"),
  Counter: require("./lib/counter"),
  Gauge: require("./lib/gauge"),
  Histogram: require("./lib/histogram"),
};
`;
