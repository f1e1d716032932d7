import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { AdmissionAsker } from "../workspaces/AdmissionAsker.ts";
import { admissionCodec } from "../../common/rpc/admissionCodec.ts";
import { DocumentConfirmer } from "./DocumentConfirmer.ts";
import { DocumentFreshness } from "./DocumentFreshness.ts";

/** A member that replies to a request for a confirmation after `ms`, or not at all. */
type Member = { readonly ms: number; readonly ageMs: number; readonly version: number } | "silent";

const open = (members: Record<string, Member>, isNeeded = true) => {
  const clock = new FakeClock();
  const state = { version: 1 };
  const asked: string[] = [];
  const noted: number[] = [];
  const elapsed = () => clock.now();
  const freshness = new DocumentFreshness({ version: () => state.version, elapsed });
  const asker = new AdmissionAsker({
    send: (address) => {
      asked.push(address);
      const member = members[address] ?? "silent";
      return new Promise((resolve) => {
        if (member !== "silent") {
          clock.after(member.ms, () => {
            resolve(admissionCodec.encode({ ...member, credit: undefined }));
          });
        }
      });
    },
    freshness,
    noteVersion: (_address, version) => noted.push(version),
    elapsed,
  });
  const confirmer = new DocumentConfirmer({
    freshness,
    ask: (address) => asker.ask(address),
    members: () => Object.keys(members),
    isNeeded: () => isNeeded,
    clock,
  });
  return { clock, state, asked, noted, freshness, confirmer };
};

const cases: readonly {
  name: string;
  members: Record<string, Member>;
  isConfirmed: boolean;
  asked: number;
  tookMs: number;
}[] = [
  {
    name: "the first member replies",
    members: { a: { ms: 3, ageMs: 400, version: 1 }, b: "silent" },
    isConfirmed: true,
    asked: 1,
    tookMs: 3,
  },
  {
    name: "the first member is silent, the next is asked meanwhile",
    members: { a: "silent", b: { ms: 3, ageMs: 400, version: 1 } },
    isConfirmed: true,
    asked: 2,
    tookMs: 43,
  },
  {
    name: "a reply whose document is too old does not count",
    members: { a: { ms: 3, ageMs: 6000, version: 1 }, b: { ms: 3, ageMs: 10, version: 1 } },
    isConfirmed: true,
    asked: 2,
    tookMs: 43,
  },
  {
    name: "no member replies",
    members: { a: "silent", b: "silent" },
    isConfirmed: false,
    asked: 2,
    tookMs: 300,
  },
  {
    name: "a newer version is current, which does not arrive",
    members: { a: { ms: 3, ageMs: 10, version: 2 } },
    isConfirmed: false,
    asked: 1,
    tookMs: 300,
  },
];

for (const c of cases) {
  test(`document confirmer: ${c.name}`, async (t) => {
    const { clock, confirmer, asked } = open(c.members);
    let endedAt = -1;
    const result = confirmer.ensure(5000).then((isConfirmed) => {
      endedAt = clock.now();
      return isConfirmed;
    });
    await clock.advance(1000);
    t.is(await result, c.isConfirmed);
    t.is(endedAt, c.tookMs);
    t.is(asked.length, c.asked);
  });
}

test("document confirmer: a confirmation counts from when it was requested", async (t) => {
  const { clock, confirmer, freshness } = open({ a: { ms: 200, ageMs: 400, version: 1 } });
  const result = confirmer.ensure(5000);
  await clock.advance(200);
  await result;
  t.is(freshness.ageMs, 600);
});

test("document confirmer: a request waits for the version that is current", async (t) => {
  const { clock, state, confirmer, freshness, noted } = open({
    a: { ms: 3, ageMs: 10, version: 2 },
  });
  const result = confirmer.ensure(5000);
  await clock.advance(20);
  state.version = 2;
  freshness.onVersionChange();
  t.true(await result);
  t.deepEqual(noted, [2]);
});

test("document confirmer: after a round without success, requests do not wait for another one", async (t) => {
  const { clock, confirmer, asked } = open({ a: "silent" });
  const first = confirmer.ensure(5000);
  await clock.advance(300);
  t.false(await first);
  t.false(await confirmer.ensure(5000));
  t.is(asked.length, 1);
  const later = confirmer.ensure(5000);
  await clock.advance(500);
  await later;
});

test("document freshness: confirmations that members pass on never claim more than is known", (t) => {
  // Five members pass confirmations on over links with delays; only the first knows the current version itself.
  for (let seed = 1; seed <= 20; seed++) {
    const random = seededRandom(seed);
    let now = 0;
    let current = 0;
    const changedAt = [0];
    const members = Array.from({ length: 5 }, () => {
      const state = { version: 0 };
      const deps = { version: () => state.version, elapsed: () => now };
      return { state, freshness: new DocumentFreshness(deps) };
    });
    const inFlight: { at: number; deliver: () => void }[] = [];
    for (let i = 0; i < 2000; i++) {
      now += random() * 20;
      inFlight
        .filter((m) => m.at <= now)
        .forEach((m) => {
          inFlight.splice(inFlight.indexOf(m), 1);
          m.deliver();
        });
      const [source, asker] = [0, 0].map(() => Math.floor(random() * 5));
      const from = members[source ?? 0];
      const to = members[asker ?? 0];
      if (random() < 0.02) {
        current += 1;
        changedAt.push(now);
      }
      if (from && to && from !== to) {
        const sentAt = now;
        inFlight.push({
          at: now + random() * 300,
          deliver: () => {
            const isFirst = from === members[0];
            const version = isFirst ? current : from.state.version;
            const ageMs = isFirst ? 0 : from.freshness.ageMs;
            const arrive = () => {
              to.freshness.confirm(version, sentAt - ageMs);
              if (random() < 0.5) {
                to.state.version = Math.max(to.state.version, version);
                to.freshness.onVersionChange();
              }
            };
            inFlight.push({ at: now + random() * 300, deliver: arrive });
          },
        });
      }
      for (const { state, freshness } of members.slice(1)) {
        const completeAt = now - freshness.ageMs;
        const needed = changedAt.findLastIndex((at) => at < completeAt);
        t.true(state.version >= needed, `seed ${seed}: ${state.version} of ${needed}`);
      }
    }
  }
});
