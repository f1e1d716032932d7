import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test from "ava";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";
import { LocalFleet, type FleetTarget } from "../scripts/LocalFleet.ts";

const DEMO_DOCUMENT_PATH = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));

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

test.serial(
  "each caller gets the complete response to its own request, across processes",
  async (t) => {
    const applied = await fleet.apply(DEMO_DOCUMENT_PATH);
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
    // Eight concurrent callers, fewer than the 18 slots: beyond those, requests may rightly be refused as not-run.
    const responses: {
      call: (typeof calls)[number];
      res: Response;
      body: { tag: string; path: string };
    }[] = [];
    const queue = [...calls];
    const runCaller = async () => {
      for (let call = queue.shift(); call; call = queue.shift()) {
        const res = await fetch(`http://127.0.0.1:${call.port}${call.path}`, {
          method: call.method,
          headers: { "x-caller-tag": `caller-${call.n}` },
          body: call.method === "POST" ? "{}" : undefined,
        });
        responses.push({ call, res, body: (await res.json()) as { tag: string; path: string } });
      }
    };
    await Promise.all(Array.from({ length: 8 }, runCaller));
    t.is(responses.length, calls.length);
    for (const { call, res, body } of responses) {
      t.is(res.status, 200);
      t.is(res.headers.get("x-burdockpass-verdict"), "done");
      t.is(body.tag, `caller-${call.n}`, "the response to the caller's own request");
      t.is(body.path, call.path);
    }
    // Both targets of each service have served requests: the sidecars distribute the load.
    const served = new Set(responses.map((r) => (r.body as unknown as { target: string }).target));
    t.is(served.size, targets.length);
  },
);

test.serial(
  "an invalid document is rejected with its line and field, and nothing changes",
  async (t) => {
    // An operator mistypes a floor as 5 instead of 0.5. The CLI must name the line and field and change nothing. The
    // control service must reject the document as well, since a CLI of another version may not check it.
    const invalidPath = join(fleet.dir, "bad.yaml");
    writeFileSync(
      invalidPath,
      readFileSync(DEMO_DOCUMENT_PATH, "utf8").replace("floor: 0.5", "floor: 5"),
    );
    const validated = await fleet.cli(["config", "validate", invalidPath]);
    t.is(validated.code, 1);
    t.regex(validated.err, /bad\.yaml:8: services\.0\.floor: /);
    const client = ControlClient(fleet.controlAddresses[0] ?? "");
    const req = {
      document: readFileSync(invalidPath, "utf8"),
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
