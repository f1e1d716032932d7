/**
 * Summarizes CPU profiles (`node --cpu-prof`) by type of work and by function: `node --import tsx bench/profileTable.ts
 * FILE.cpuprofile [FROM_MS TO_MS]`; the times, since the profile's start, select a part of it.
 */
import { readFileSync } from "node:fs";

/** A node of the profile's call tree. */
interface ProfileNode {
  readonly id: number;
  readonly callFrame: {
    readonly functionName: string;
    readonly url: string;
    readonly lineNumber: number;
  };
  readonly children?: readonly number[];
}

interface Profile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  /** Time since the previous sample, µs. */
  readonly timeDeltas: readonly number[];
}

/** Samples of these functions are no work of the process. */
const IDLE = new Set(["(idle)"]);

/** Number of functions that are printed. */
const TOP = 45;

/** Types of work, by the source file of the outermost of a sample's functions that matches. */
const WORK: readonly (readonly [string, RegExp])[] = [
  ["logs", /bunyan|telemetry\/createLogger/],
  ["metrics", /prom-client|SidecarMetrics|renderMetrics/],
  ["gossip", /src\/membership\//],
  ["document", /src\/sidecar\/config|src\/common\/document|documentCodec|RouteIndex/],
  ["admin API", /sidecar\/admin/],
  ["timers for stalls", /StallClock|LateTimeoutReport|lifecycle\/every/],
  ["hop and gate", /src\/sidecar\/(gate|hop|signals|TargetSide)/],
  ["caller's request", /src\/sidecar/],
  ["control", /src\/control/],
  ["gRPC", /grpc-js/],
  ["Node: streams, sockets, HTTP", /^node:/],
];

const [file = "", from = "0", to = "Infinity"] = process.argv.slice(2);
const profile = JSON.parse(readFileSync(file, "utf8")) as Profile;
const byId = new Map(profile.nodes.map((n) => [n.id, n]));
const parents = new Map(profile.nodes.flatMap((n) => (n.children ?? []).map((c) => [c, n.id])));
const modules = new Map<string, readonly string[]>();

/** The source file of each line of a compiled program, from the comments that esbuild writes. */
function modulesOf(url: string): readonly string[] {
  let known = modules.get(url);
  if (!known) {
    known = [];
    try {
      let current = "";
      known = readFileSync(url.replace("file://", ""), "utf8")
        .split("\n")
        .map((line) => (current = /^ *\/\/ (\S+\.[cm]?[jt]s)$/.exec(line)?.[1] ?? current));
    } catch {
      // The program no longer exists: functions are named without their files.
    }
    modules.set(url, known);
  }
  return known;
}

function sourceOf({ callFrame: { url, lineNumber } }: ProfileNode): string {
  return url.startsWith("node:") ? url : (modulesOf(url)[lineNumber] ?? url);
}

function stackOf(id: number): ProfileNode[] {
  const stack: ProfileNode[] = [];
  for (let at: number | undefined = id; at !== undefined; at = parents.get(at)) {
    const node = byId.get(at);
    if (node) {
      stack.push(node);
    }
  }
  return stack;
}

function workOf(stack: readonly ProfileNode[]): string {
  const name = stack[0]?.callFrame.functionName ?? "";
  if (name.startsWith("(")) {
    return name;
  }
  const sources = stack.map(sourceOf);
  return WORK.find(([, pattern]) => sources.some((s) => pattern.test(s)))?.[0] ?? "other";
}

const add = (sums: Map<string, number>, key: string, us: number) => {
  sums.set(key, (sums.get(key) ?? 0) + us);
};
const sortedDeltas = profile.timeDeltas.toSorted((a, b) => a - b);
const longestSample = 2 * (sortedDeltas[sortedDeltas.length >> 1] ?? 0);
const works = new Map<string, number>();
const self = new Map<string, number>();
const inclusive = new Map<string, number>();
let at = 0;
let busy = 0;
profile.samples.forEach((id, n) => {
  // A sample stands for the time until the next one, or for less if the process was not running meanwhile.
  const us = Math.min(profile.timeDeltas[n + 1] ?? 0, longestSample);
  at += profile.timeDeltas[n] ?? 0;
  const stack = stackOf(id);
  const name = stack[0]?.callFrame.functionName ?? "";
  if (at < Number(from) * 1000 || at >= Number(to) * 1000 || IDLE.has(name)) {
    return;
  }
  busy += us;
  add(works, workOf(stack), us);
  const labels = stack.map((s) => `${s.callFrame.functionName || "(anonymous)"} ${sourceOf(s)}`);
  add(self, labels[0] ?? "", us);
  new Set(labels).forEach((label) => {
    add(inclusive, label, us);
  });
});

function print(title: string, sums: ReadonlyMap<string, number>, count = Infinity): void {
  console.log(`\n${title}`);
  for (const [key, us] of [...sums].sort((a, b) => b[1] - a[1]).slice(0, count)) {
    console.log(
      `${(us / 1000).toFixed(1).padStart(9)} ms ${((us / busy) * 100).toFixed(1).padStart(5)}%  ${key}`,
    );
  }
}

console.log(`${(busy / 1000).toFixed(0)} ms of ${(at / 1000).toFixed(0)} ms`);
print("by type of work", works);
print("by function, without what it calls", self, TOP);
print("by function, with what it calls", inclusive, TOP * 2);
