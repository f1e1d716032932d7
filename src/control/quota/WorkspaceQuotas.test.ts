import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { Voter } from "../log/Voter.ts";
import { VoterShares } from "./VoterShares.ts";
import { WorkspaceQuotas } from "./WorkspaceQuotas.ts";

const WINDOW_MS = 5000;
const TOLERANT = { windowMs: WINDOW_MS, ratio: 0.1, requests: 20 };
const STRICT = { windowMs: WINDOW_MS, ratio: 0, requests: 0 };
const STEP_MS = 20;

const voterOf = (n: number): Voter => ({ id: ReplicaId(`r${n}`), address: `r${n}`, zone: "" });

/** A control group whose replicas see its changes, and the quota's, with the delays that the tests give them. */
class QuotaFleet {
  readonly clock = new FakeClock();
  readonly grantedAt: number[] = [];
  quota = { ratePerS: 0, burst: 0 };
  tolerance = TOLERANT;
  #voters = [0, 1, 2, 3, 4].map(voterOf);
  #nextId = 5;
  readonly replicas = new Map<string, Replica>();

  constructor() {
    this.#voters.forEach((v) => this.replicas.set(v.id, new Replica(this, v.id, this.#voters)));
  }

  /** Replaces a voter, which does not learn of it and stops hearing the leader. */
  replace(index: number): void {
    const removed = this.#voters[index];
    this.#voters = this.#voters.with(index, voterOf(this.#nextId));
    const id = ReplicaId(`r${this.#nextId}`);
    this.replicas.set(id, new Replica(this, id, []));
    this.#nextId += 1;
    for (const replica of this.replicas.values()) {
      if (replica.id === removed?.id) {
        replica.heardAt = this.clock.now();
      } else if (replica.heardAt === undefined) {
        replica.see(this.#voters);
      }
    }
  }

  restart(id: string): void {
    const before = this.replicas.get(id);
    if (before && before.heardAt === undefined) {
      this.replicas.set(id, new Replica(this, before.id, this.#voters));
    }
  }

  /** Asks the replicas in turn, as a sidecar does. */
  request(from: number): boolean {
    const all = [...this.replicas.values()];
    const order = [...all.slice(from), ...all.slice(0, from)];
    const isGranted = order.some((r) => r.quotas.take("w").kind === "granted");
    if (isGranted) {
      this.grantedAt.push(this.clock.now());
    }
    return isGranted;
  }

  /** Most requests granted in any window. */
  get mostInWindow(): number {
    return Math.max(
      0,
      ...this.grantedAt.map(
        (at, i) => this.grantedAt.slice(i).filter((x) => x < at + WINDOW_MS).length,
      ),
    );
  }
}

/** One replica: the parts of it that the shares are computed from. */
class Replica {
  readonly id: ReplicaId;
  voters: readonly Voter[];
  /** When it last heard the leader, if it does not any more, ms. */
  heardAt: number | undefined;
  readonly quotas: WorkspaceQuotas;
  readonly #shares: VoterShares;
  readonly #fleet: QuotaFleet;

  constructor(fleet: QuotaFleet, id: ReplicaId, voters: readonly Voter[]) {
    this.#fleet = fleet;
    this.id = id;
    this.voters = voters;
    const { clock } = fleet;
    this.#shares = new VoterShares({ replica: this, wantedVoters: 5, clock });
    const document = () => ({
      ...EMPTY_DOCUMENT,
      workspaces: [{ name: "w", apiKeys: [], quota: fleet.quota }],
    });
    this.quotas = new WorkspaceQuotas({
      document,
      holders: () => this.#shares.holders,
      tolerance: () => fleet.tolerance,
      clock,
    });
  }

  see(voters: readonly Voter[]): void {
    this.voters = voters;
    this.#shares.update();
  }

  get role(): "follower" | "learner" {
    return this.voters.some((v) => v.id === this.id) ? "follower" : "learner";
  }

  get stateAgeMs(): number {
    return this.heardAt === undefined ? 200 : this.#fleet.clock.now() - this.heardAt;
  }
}

const cases = [
  { quota: { ratePerS: 2, burst: 2 }, tolerance: TOLERANT },
  { quota: { ratePerS: 38, burst: 38 }, tolerance: TOLERANT },
  { quota: { ratePerS: 0.2, burst: 0 }, tolerance: TOLERANT },
  { quota: { ratePerS: 100, burst: 20 }, tolerance: TOLERANT },
  { quota: { ratePerS: 100, burst: 20 }, tolerance: STRICT },
];

for (const { quota, tolerance } of cases) {
  const { ratePerS, burst } = quota;
  const allowed = ratePerS * (WINDOW_MS / 1000) + burst;
  const bound = allowed * (1 + tolerance.ratio) + tolerance.requests;
  const name = `quota of ${ratePerS}/s + ${burst}, ${tolerance.requests} tolerated`;

  test(`${name}: no window exceeds it while replicas restart and are replaced`, async (t) => {
    for (let seed = 1; seed <= 12; seed++) {
      const random = seededRandom(seed);
      const fleet = new QuotaFleet();
      fleet.quota = quota;
      fleet.tolerance = tolerance;
      for (let i = 0; i < 800; i++) {
        await fleet.clock.advance(STEP_MS);
        for (let n = 0; n < 10; n++) {
          fleet.request(Math.floor(random() * fleet.replicas.size));
        }
        if (i % 250 === 120) {
          [...fleet.replicas.keys()].forEach((id) => {
            fleet.restart(id);
          });
        }
        if (i % 300 === 200) {
          fleet.replace(Math.floor(random() * 5));
        }
      }
      t.true(fleet.mostInWindow <= bound, `seed ${seed}: ${fleet.mostInWindow} of ${bound}`);
    }
  });

  test(`${name}: requests within it are granted`, async (t) => {
    const random = seededRandom(1);
    const fleet = new QuotaFleet();
    fleet.quota = quota;
    fleet.tolerance = tolerance;
    await fleet.clock.advance(10_000);
    let refused = 0;
    let sent = 0;
    for (let i = 0; i < 3000; i++) {
      await fleet.clock.advance(STEP_MS);
      if (random() < (ratePerS * 0.8 * STEP_MS) / 1000) {
        sent += 1;
        refused += fleet.request(Math.floor(random() * 5)) ? 0 : 1;
      }
    }
    t.true(refused <= 0.01 * sent, `${refused} of ${sent} refused`);
  });
}

test("quota: a lowered limit binds at once, a raised one too, and a credit that is returned can be taken again", async (t) => {
  const fleet = new QuotaFleet();
  const drain = () => {
    let granted = 0;
    while (fleet.request(0)) {
      granted += 1;
    }
    return granted;
  };
  fleet.quota = { ratePerS: 100, burst: 100 };
  await fleet.clock.advance(10_000);
  t.true(drain() > 100);
  fleet.quota = { ratePerS: 1, burst: 5 };
  t.is(drain(), 0);
  await fleet.clock.advance(1000);
  t.true(drain() <= 3);
  const [first] = fleet.replicas.values();
  first?.quotas.putBack("w");
  t.is(drain(), 1);
  fleet.quota = { ratePerS: 100, burst: 100 };
  await fleet.clock.advance(1000);
  t.true(drain() >= 95);
  t.is(first?.quotas.take("unknown").kind, "unavailable");
});
