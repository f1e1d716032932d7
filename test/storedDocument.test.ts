import { readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { eventually } from "./fixtures/eventually.ts";
import { withFleet } from "./fixtures/withFleet.ts";

test("a restarted sidecar doesn't report the document on its disk as missing", async (t) => {
  const targets = [{ id: "desk", service: "glenbrae-availability", zone: "zone-a", slots: 4 }];
  await withFleet(targets, async (fleet) => {
    const logFile = join(fleet.dir, "sidecar-desk.log");
    const before = readFileSync(logFile, "utf8").length;
    await fleet.killSidecar("desk");
    await fleet.restartSidecar("desk");
    const log = () => readFileSync(logFile, "utf8").slice(before);
    await eventually(() => log().includes('"msg":"configuration in force"'));
    t.regex(log(), /"from":"disk","msg":"configuration in force"/);
    t.notRegex(log(), /no configuration document loaded/);
  });
});
