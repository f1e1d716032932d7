import { defineCommand, runMain } from "citty";
import { StandInTarget } from "./StandInTarget.ts";

const main = defineCommand({
  meta: {
    name: "standin-target",
    description: "A stand-in back end for tests, the demo and benchmarks.",
  },
  args: {
    id: { type: "string", required: true },
    service: { type: "string", required: true },
    port: { type: "string", default: "0" },
    sidecar: { type: "string", description: "The sidecar's admin host:port" },
    slots: { type: "string", default: "5" },
    "work-ms": { type: "string", default: "2" },
    "work-tail": { type: "string", default: "1", description: "Largest work time / mean" },
    "cold-ms": { type: "string", default: "0" },
    "wrong-rate": { type: "string", default: "0.05" },
    "health-lag-ms": { type: "string", default: "0" },
    "net-ms": { type: "string", default: "0" },
    "runs-on": { type: "boolean", default: false },
    "echo-header": { type: "string", default: "x-burdockpass-request" },
    "announce-lag-ms": { type: "string", default: "0" },
    "health-lies": { type: "boolean", default: false },
    "crash-path": { type: "string", description: "Paths of requests that end the process" },
    journal: { type: "string", description: "File that records how each request was handled" },
    "call-path": { type: "string", description: "Path of the nested calls that its runs make" },
    "call-port": { type: "string", description: "Its sidecar's port for callers" },
    "call-share": { type: "string", default: "1" },
  },
  async run({ args }) {
    const target = new StandInTarget({
      id: args.id,
      service: args.service,
      host: "127.0.0.1",
      port: Number(args.port),
      sidecarAdmin: args.sidecar,
      slots: Number(args.slots),
      workMs: Number(args["work-ms"]),
      workTail: Number(args["work-tail"]),
      coldMs: Number(args["cold-ms"]),
      wrongRate: Number(args["wrong-rate"]),
      healthLagMs: Number(args["health-lag-ms"]),
      ignoresCancellation: args["runs-on"],
      netMs: Number(args["net-ms"]),
      announceLagMs: Number(args["announce-lag-ms"]),
      echoHeader: args["echo-header"],
      alwaysReportsHealthy: args["health-lies"],
      crashPath: args["crash-path"],
      journalFile: args.journal,
      nestedCalls: nestedCallsOf(args["call-path"], args["call-port"], args["call-share"]),
    });
    const port = await target.start();
    process.stdout.write(JSON.stringify({ msg: "standin ready", id: args.id, port }) + "\n");
    process.once("SIGTERM", () => void target.stop().then(() => process.exit(0)));
  },
});

function nestedCallsOf(path: string | undefined, port: string | undefined, share: string) {
  return path === undefined ? undefined : { path, port: Number(port), share: Number(share) };
}

void runMain(main);
