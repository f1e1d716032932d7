import test from "ava";
import type { LocalFleet } from "../scripts/LocalFleet.ts";
import { eventually } from "./fixtures/eventually.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Number of lookups before the restart, and after it. */
const LOOKUPS = 30;

const TARGETS = [
  { id: "door", service: "glenbrae-bookings", zone: "zone-a", slots: 4 },
  { id: "desk", service: "glenbrae-availability", zone: "zone-b", slots: 4, workMs: 5 },
];

/** Looks up availability through the sidecar of `door`; resolves with the tag in the response, undefined for a refusal. */
async function lookUp(fleet: LocalFleet, tag: string): Promise<string | undefined> {
  const port = fleet.sidecars.get("door")?.ports.caller ?? 0;
  const res = await fetch(`http://127.0.0.1:${port}/glenbrae/availability/${tag}`, {
    headers: { "x-caller-tag": tag },
  });
  const body = (await res.json()) as { tag?: string };
  return res.ok ? body.tag : undefined;
}

test.serial(
  "a caller of a restarted sidecar gets no response to a request before the restart",
  async (t) => {
    // Guards against gates that take the first slot requests of a restarted sidecar for those of its previous incarnation.
    await withFleet(TARGETS, async (fleet) => {
      await fleet.killSidecar("door");
      await fleet.restartSidecar("door");
      const warmUp = () => lookUp(fleet, "warm-up").catch(() => undefined);
      await eventually(async () => (await warmUp()) !== undefined);
      const tagsOf = (prefix: string) =>
        Array.from({ length: LOOKUPS }, (_, n) => `${prefix}-${n}`);
      await Promise.all(tagsOf("before").map((tag) => lookUp(fleet, tag)));
      await fleet.killSidecar("door");
      await fleet.restartSidecar("door");
      await eventually(async () => (await warmUp()) !== undefined);
      const responses = await Promise.all(
        tagsOf("after").map(async (tag) => ({ tag, response: await lookUp(fleet, tag) })),
      );
      const served = responses.filter(({ response }) => response !== undefined);
      t.true(served.length > 0);
      t.deepEqual(
        served.filter(({ tag, response }) => response !== tag),
        [],
      );
    });
  },
);
