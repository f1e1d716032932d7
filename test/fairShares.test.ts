import { readFileSync, writeFileSync } from "node:fs";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { documentFor } from "./fixtures/documentFor.ts";
import { eventually } from "./fixtures/eventually.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const targets: FleetTarget[] = [
  { id: "results-0", service: "oljelab-results", zone: "zone-a", slots: 5 },
  { id: "results-1", service: "oljelab-results", zone: "zone-b", slots: 5 },
];

const moreDocument = `
workspaces:
  - { name: lab, apiKeys: [lab-key], weight: 2 }
`;

/** What the sidecars report of the slot time of their targets: text of `/status` and of the metrics. */
async function reports(fleet: LocalFleet): Promise<string> {
  const urls = [...fleet.sidecars.values()].flatMap(({ ports: { admin } }) =>
    ["status", "metrics"].map((page) => `http://127.0.0.1:${admin}/${page}`),
  );
  return (await Promise.all(urls.map(async (url) => (await fetch(url)).text()))).join("\n");
}

test("fair shares: switched by the document, and the workspace reaches the gate, over real processes", async (t) => {
  const lookUp = async () => {
    const port = fleet.sidecars.get("results-0")?.ports.caller ?? 0;
    const headers = { authorization: "Bearer lab-key" };
    return (await fetch(`http://127.0.0.1:${port}/oljelab/results/1`, { headers })).status;
  };
  let fleet: LocalFleet;
  await withFleet(
    targets,
    async (started) => {
      fleet = started;
      t.is(await lookUp(), 200);
      t.notRegex(await reports(fleet), /slotTime|slot_time_share\{/);

      const path = documentFor(fleet, { moreDocument });
      const text = readFileSync(path, "utf8").replaceAll("floor:", "fairShares: true\n    floor:");
      writeFileSync(path, text);
      const applied = await fleet.apply(path);
      t.is(applied.code, 0, applied.err);
      await fleet.waitForVersion(2);
      t.is(await lookUp(), 200);
      await eventually(async () => /"user":\s*"lab"/.test(await reports(fleet)));
      t.regex(await reports(fleet), /slot_time_share\{.*workspace="lab"\} 1\n/);
    },
    { moreDocument },
  );
});
