import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const counters = (count: number, workMs: number): FleetTarget[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `avail-${n}`,
    service: "glenbrae-availability",
    zone: `zone-${"abc"[n] ?? "a"}`,
    slots: 4,
    workMs,
  }));

interface Answer {
  readonly status: number;
  readonly verdict: string | null;
  readonly body: string;
  readonly ms: number;
}

async function look(fleet: LocalFleet, tag: string, query = ""): Promise<Answer> {
  const port = fleet.sidecars.get("avail-0")?.ports.caller ?? 0;
  const startedAt = Date.now();
  const res = await fetch(`http://127.0.0.1:${port}/glenbrae/availability/${tag}${query}`, {
    headers: { "x-caller-tag": tag },
  });
  const verdict = res.headers.get("x-burdockpass-verdict");
  return { status: res.status, verdict, body: await res.text(), ms: Date.now() - startedAt };
}

const tagOf = (a: Answer) => (JSON.parse(a.body) as { tag: string }).tag;

test.serial("an answer that comes too late reaches nobody else", async (t) => {
  // Story: a clerk's lookup times out at the only target, which answers after
  // all, later. The next clerk's lookup must not be handed that answer.
  await withFleet(counters(1, 150), async (fleet) => {
    await standIn.setFault(fleet, "avail-0", FaultMode.Slow); // 1.5 s against a timeout of 1 s
    const late = await look(fleet, "late");
    t.is(late.verdict === "done", false);
    await standIn.setFault(fleet, "avail-0", FaultMode.None);
    for (let n = 0; n < 12; n++) {
      const answer = await look(fleet, `next-${n}`);
      if (answer.status === 200) {
        t.is(tagOf(answer), `next-${n}`);
      }
    }
  });
});

test.serial("answers of other requests are never passed on", async (t) => {
  // Story: a target mixes answers up, 5 in 100. Clerks asking about different
  // depots at once must each get their own, from another target if need be.
  await withFleet(counters(3, 5), async (fleet) => {
    await standIn.setFault(fleet, "avail-1", FaultMode.Wrong);
    let served = 0;
    for (let round = 0; round < 60; round++) {
      const tags = [0, 1, 2, 3].map((n) => `depot-${round}-${n}`);
      const answers = await Promise.all(tags.map((tag) => look(fleet, tag)));
      answers.forEach((a, n) => {
        if (a.status === 200) {
          served += 1;
          t.is(tagOf(a), tags[n] ?? "");
        }
      });
    }
    t.log(`${served} of 240 served, each its own`);
    t.true(served >= 235);
  });
});

test.serial("connections gone silent for good are left behind, and lookups go on", async (t) => {
  // Story: a firewall forgets every open connection to the targets; nothing
  // comes back on them any more, while new connections work. A clerk must not
  // wait for the full deadline again and again.
  await withFleet(counters(3, 5), async (fleet) => {
    await Promise.all(Array.from({ length: 24 }, (_, n) => look(fleet, `warm-${n}`)));
    for (const id of ["avail-0", "avail-1", "avail-2"]) {
      await standIn.setFault(fleet, id, FaultMode.SilentOld);
    }
    const answers: Answer[] = [];
    for (let n = 0; n < 40; n++) {
      answers.push(await look(fleet, `after-${n}`));
    }
    const served = answers.filter((a) => a.status === 200).length;
    const slow = answers.filter((a) => a.ms > 400).length;
    t.log(`${served} of 40 served, ${slow} took over 400 ms`);
    t.true(served >= 38);
    t.true(slow <= 8);
  });
});

test.serial("a body cut short is never passed off as whole", async (t) => {
  // Story: a target dies in the midst of an answer. The clerk must get the
  // whole answer from another target, never half of one.
  await withFleet(counters(3, 5), async (fleet) => {
    await standIn.setFault(fleet, "avail-1", FaultMode.Truncate);
    for (let n = 0; n < 40; n++) {
      const answer = await look(fleet, `whole-${n}`);
      if (answer.status === 200) {
        t.is(tagOf(answer), `whole-${n}`);
      }
    }
  });
});

test.serial("a large report streams whole, and one cut short is seen to be", async (t) => {
  // Story: a crew pulls an 8 MB trend report before an outage. It must come
  // whole; when its target dies on the way the crew must see that it did.
  await withFleet(counters(1, 5), async (fleet) => {
    const bytes = 8 << 20;
    const report = await look(fleet, "report", `?bytes=${bytes}`);
    t.is(report.status, 200);
    t.is((JSON.parse(report.body) as { filler: string }).filler.length, bytes);
    await standIn.setFault(fleet, "avail-0", FaultMode.Truncate);
    await t.throwsAsync(look(fleet, "cut", `?bytes=${bytes}`));
  });
});
