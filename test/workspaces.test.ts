import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { documentFor } from "./fixtures/documentFor.ts";
import { eventually } from "./fixtures/eventually.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const targets: FleetTarget[] = [
  { id: "results-0", service: "oljelab-results", zone: "zone-a", slots: 5 },
  { id: "results-1", service: "oljelab-results", zone: "zone-b", slots: 5 },
];

/** Longest time for which a key is accepted without a confirmation of the document, ms. */
const ADMIT_MS = 1500;

const workspaces = (labKeys: string) => `
workspaces:
  - { name: lab, apiKeys: [${labKeys}] }
  - { name: depot, apiKeys: [depot-key], quota: { ratePerS: 0.5, burst: 2 } }
`;

interface LookupResponse {
  readonly status: number;
  readonly retryAfter: string | null;
  readonly challenge: string | null;
  readonly body: { workspace?: string | null; hasCredentials?: boolean };
}

async function lookUp(
  fleet: LocalFleet,
  key: string | undefined,
  via = "results-0",
): Promise<LookupResponse> {
  const port = fleet.sidecars.get(via)?.ports.caller ?? 0;
  const res = await fetch(`http://127.0.0.1:${port}/oljelab/results/1`, {
    headers: {
      "x-burdockpass-workspace": "forged",
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
  });
  const body = (await res.json()) as LookupResponse["body"];
  const { headers } = res;
  return {
    status: res.status,
    retryAfter: headers.get("retry-after"),
    challenge: headers.get("www-authenticate"),
    body,
  };
}

test("workspaces: keys, quotas and a revocation, over real processes", async (t) => {
  const settings = { documentAge: { admitMs: ADMIT_MS } };
  const moreDocument = workspaces("lab-key, old-key");
  await withFleet(
    targets,
    async (fleet) => {
      const served = await lookUp(fleet, "lab-key");
      t.is(served.status, 200);
      t.is(served.body.workspace, "lab", "the target is told the workspace");
      t.false(served.body.hasCredentials, "the key is not passed on");

      for (const key of [undefined, "wrong"]) {
        const denied = await lookUp(fleet, key);
        t.is(denied.status, 401);
        t.is(denied.challenge, "Bearer");
        t.is(denied.retryAfter, null);
      }

      const statuses = [];
      for (const via of ["results-0", "results-1", "results-0", "results-1"]) {
        statuses.push((await lookUp(fleet, "depot-key", via)).status);
      }
      t.deepEqual(statuses.sort(), [200, 200, 429, 429], "one quota for all sidecars");
      const over = await lookUp(fleet, "depot-key");
      t.true(Number(over.retryAfter) >= 1);

      t.is((await lookUp(fleet, "old-key")).status, 200);
      const applied = await fleet.apply(
        documentFor(fleet, { moreDocument: workspaces("lab-key") }),
      );
      t.is(applied.code, 0, applied.err);
      await fleet.waitForVersion(2);
      t.is((await lookUp(fleet, "old-key")).status, 401);
      t.is((await lookUp(fleet, "lab-key")).status, 200);

      const admin = [...fleet.controls.values()].map((c) => `127.0.0.1:${c.ports.admin}`).join();
      const { out } = await fleet.cli(["workspaces", "--admin", admin]);
      t.regex(out, /^depot +1 +0\.5 +2 +- +2 +[1-9]/m);
      t.notRegex(out, /-key/);

      // No key is accepted once control has been out of reach for longer than a revocation may take.
      await fleet.killControl("control-1");
      await eventually(async () => (await lookUp(fleet, "lab-key")).status === 503);
      const refused = await lookUp(fleet, "lab-key");
      t.is(refused.status, 503);
      t.truthy(refused.retryAfter);
    },
    { sidecarSettings: settings, moreDocument },
  );
});

test("workspaces: requests within a quota are served while control is away, and no more than it after its return", async (t) => {
  const quotaLeases = { termMs: 15_000 };
  const moreDocument = `
workspaces:
  - { name: busy, apiKeys: [busy-key], quota: { ratePerS: 50, burst: 50 } }
  - { name: depot, apiKeys: [depot-key], quota: { ratePerS: 0.01, burst: 3 } }
`;
  await withFleet(
    targets,
    async (fleet) => {
      const vias = ["results-0", "results-1"];
      const statuses = async (key: string, times: number) => {
        const all = Array.from({ length: times }, (_, i) => lookUp(fleet, key, vias[i % 2]));
        return (await Promise.all(all)).map((r) => r.status).sort();
      };
      t.deepEqual(await statuses("busy-key", 4), [200, 200, 200, 200]);
      t.deepEqual(await statuses("depot-key", 4), [200, 200, 200, 429], "one bucket for both");
      const admin = [...fleet.controls.values()].map((c) => `127.0.0.1:${c.ports.admin}`).join();
      const { out } = await fleet.cli(["workspaces", "--admin", admin]);
      t.regex(out, /holder$/m);
      t.regex(out, /^busy .* 127\.0\.0\.1:\d+$/m);

      await fleet.killControl("control-1");
      for (let i = 0; i < 8; i++) {
        t.deepEqual(await statuses("busy-key", 2), [200, 200], "control is away");
        await new Promise((resolve) => setTimeout(resolve, 200));
      }
      await fleet.restartControl("control-1");
      for (let i = 0; i < 10; i++) {
        t.deepEqual(await statuses("busy-key", 2), [200, 200], "control has restarted");
        t.deepEqual(await statuses("depot-key", 2), [429, 429], "what was granted stays granted");
        await new Promise((resolve) => setTimeout(resolve, 300));
      }
    },
    {
      sidecarSettings: { quotaLeases, documentAge: { admitMs: null } },
      controlSettings: { quotaLeases },
      moreDocument,
    },
  );
});
