import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const availabilityTargets = (count: number, workMs: number): FleetTarget[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `avail-${n}`,
    service: "glenbrae-availability",
    zone: `zone-${"abc"[n] ?? "a"}`,
    slots: 4,
    workMs,
  }));

interface LookupResponse {
  readonly status: number;
  readonly verdict: string | null;
  readonly body: string;
  readonly ms: number;
}

async function lookUp(fleet: LocalFleet, tag: string, query = ""): Promise<LookupResponse> {
  const port = fleet.sidecars.get("avail-0")?.ports.caller ?? 0;
  const startedAt = Date.now();
  const res = await fetch(`http://127.0.0.1:${port}/glenbrae/availability/${tag}${query}`, {
    headers: { "x-caller-tag": tag },
  });
  const verdict = res.headers.get("x-burdockpass-verdict");
  return { status: res.status, verdict, body: await res.text(), ms: Date.now() - startedAt };
}

const callerTagOf = (res: LookupResponse) => (JSON.parse(res.body) as { tag: string }).tag;

test.serial("a late response is not delivered to another caller", async (t) => {
  // A lookup times out at the only target, whose response arrives later. It must not be delivered as the response to
  // the next lookup.
  await withFleet(availabilityTargets(1, 150), async (fleet) => {
    await standIn.setFault(fleet, "avail-0", FaultMode.Slow); // 1.5 s against a timeout of 1 s
    const late = await lookUp(fleet, "late");
    t.is(late.verdict === "done", false);
    await standIn.setFault(fleet, "avail-0", FaultMode.None);
    for (let n = 0; n < 12; n++) {
      const res = await lookUp(fleet, `next-${n}`);
      if (res.status === 200) {
        t.is(callerTagOf(res), `next-${n}`);
      }
    }
  });
});

test.serial("responses to other requests are never delivered", async (t) => {
  // A target returns the response of another request in 5 of 100 cases. Concurrent callers must each get the response
  // to their own request, from another target if necessary.
  await withFleet(availabilityTargets(3, 5), async (fleet) => {
    await standIn.setFault(fleet, "avail-1", FaultMode.Wrong);
    let served = 0;
    for (let round = 0; round < 60; round++) {
      const tags = [0, 1, 2, 3].map((n) => `depot-${round}-${n}`);
      const responses = await Promise.all(tags.map((tag) => lookUp(fleet, tag)));
      responses.forEach((res, n) => {
        if (res.status === 200) {
          served += 1;
          t.is(callerTagOf(res), tags[n] ?? "");
        }
      });
    }
    t.log(`${served} of 240 lookups served with their own response`);
    t.true(served >= 235);
  });
});

test.serial("connections that have gone silent are abandoned, and lookups continue", async (t) => {
  // A firewall drops the state of all open connections to the targets: no response arrives on them any more, while new
  // connections work. Callers must not wait for their full deadline again and again.
  await withFleet(availabilityTargets(3, 5), async (fleet) => {
    await Promise.all(Array.from({ length: 24 }, (_, n) => lookUp(fleet, `warm-${n}`)));
    for (const id of ["avail-0", "avail-1", "avail-2"]) {
      await standIn.setFault(fleet, id, FaultMode.SilentOld);
    }
    const responses: LookupResponse[] = [];
    for (let n = 0; n < 40; n++) {
      responses.push(await lookUp(fleet, `after-${n}`));
    }
    const served = responses.filter((res) => res.status === 200).length;
    const slow = responses.filter((res) => res.ms > 400).length;
    t.log(`${served} of 40 served, ${slow} took over 400 ms`);
    t.true(served >= 38);
    t.true(slow <= 8);
  });
});

test.serial("a truncated body is never delivered as a complete response", async (t) => {
  // A target dies while it sends a response. The caller must get a complete response from another target, never a
  // truncated one.
  await withFleet(availabilityTargets(3, 5), async (fleet) => {
    await standIn.setFault(fleet, "avail-1", FaultMode.Truncate);
    for (let n = 0; n < 40; n++) {
      const res = await lookUp(fleet, `whole-${n}`);
      if (res.status === 200) {
        t.is(callerTagOf(res), `whole-${n}`);
      }
    }
  });
});

test.serial(
  "a large report is streamed completely, and a truncated one is detectable",
  async (t) => {
    // An 8 MB report must arrive completely; when its target dies during the transfer, the caller must be able to detect
    // the truncation.
    await withFleet(availabilityTargets(1, 5), async (fleet) => {
      const bytes = 8 << 20;
      const report = await lookUp(fleet, "report", `?bytes=${bytes}`);
      t.is(report.status, 200);
      t.is((JSON.parse(report.body) as { filler: string }).filler.length, bytes);
      await standIn.setFault(fleet, "avail-0", FaultMode.Truncate);
      await t.throwsAsync(lookUp(fleet, "cut", `?bytes=${bytes}`));
    });
  },
);
