import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test from "ava";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";
import { LocalFleet, type FleetTarget } from "../scripts/LocalFleet.ts";

const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));

const targets: FleetTarget[] = [
  { id: "results-0", service: "oljelab-results", zone: "zone-a", slots: 5 },
  { id: "results-1", service: "oljelab-results", zone: "zone-b", slots: 5 },
  { id: "vans-0", service: "glenbrae-bookings", zone: "zone-c", slots: 4 },
  { id: "vans-1", service: "glenbrae-bookings", zone: "zone-d", slots: 4 },
];

const fleet = new LocalFleet();

test.before(async () => {
  await fleet.start(targets);
});

test.after.always(async () => {
  await fleet.stop();
});

test.serial("every caller gets its own whole answer through separate processes", async (t) => {
  const applied = await fleet.apply(DOC);
  t.is(applied.code, 0, applied.err);
  await fleet.waitForVersion(1);
  await fleet.waitForTargets(targets.length);
  const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const calls = Array.from({ length: 240 }, (_, n) => ({
    n,
    port: ports[n % ports.length] ?? 0,
    method: n % 2 === 0 ? "GET" : "POST",
    path: n % 2 === 0 ? `/oljelab/results/t-${n}` : "/glenbrae/bookings/van",
  }));
  // Eight callers at a time, within the 18 slots: more would be shed, rightly, as not-run.
  const answers: {
    c: (typeof calls)[number];
    res: Response;
    body: { tag: string; path: string };
  }[] = [];
  const queue = [...calls];
  const caller = async () => {
    for (let c = queue.shift(); c; c = queue.shift()) {
      const res = await fetch(`http://127.0.0.1:${c.port}${c.path}`, {
        method: c.method,
        headers: { "x-caller-tag": `caller-${c.n}` },
        body: c.method === "POST" ? "{}" : undefined,
      });
      answers.push({ c, res, body: (await res.json()) as { tag: string; path: string } });
    }
  };
  await Promise.all(Array.from({ length: 8 }, caller));
  t.is(answers.length, calls.length);
  for (const { c, res, body } of answers) {
    t.is(res.status, 200);
    t.is(res.headers.get("x-burdockpass-verdict"), "done");
    t.is(body.tag, `caller-${c.n}`, "the caller's own answer");
    t.is(body.path, c.path);
  }
  // Both targets of each service served: the sidecars spread the work.
  const served = new Set(answers.map((a) => (a.body as unknown as { target: string }).target));
  t.is(served.size, targets.length);
});

test.serial(
  "a bad document is rejected with its line and field, and nothing changes",
  async (t) => {
    // Story: an operator mistypes a floor as 5 instead of 0.5. The CLI must name
    // the line and field and change nothing; and control, asked directly, must
    // refuse it too, so a CLI of another version cannot slip it in.
    const bad = join(fleet.dir, "bad.yaml");
    writeFileSync(bad, readFileSync(DOC, "utf8").replace("floor: 0.5", "floor: 5"));
    const validated = await fleet.cli(["config", "validate", bad]);
    t.is(validated.code, 1);
    t.regex(validated.err, /bad\.yaml:8: services\.0\.floor: /);
    const client = ControlClient(fleet.controlAddresses[0] ?? "");
    const req = {
      document: readFileSync(bad, "utf8"),
      expected_version: 1,
      request_id: "bad-1",
      version: 0,
    };
    const reply = await callUnary(client.Apply.bind(client), req, 5000);
    client.close();
    t.is(reply.outcome, "invalid");
    t.regex(reply.message, /line 8 services\.0\.floor/);
    for (const sidecar of fleet.sidecars.values()) {
      t.is((await fleet.status(sidecar)).configVersion, 1);
    }
  },
);
