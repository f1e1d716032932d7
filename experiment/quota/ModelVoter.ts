import { EMPTY_DOCUMENT } from "../../src/common/document/EMPTY_DOCUMENT.ts";
import { ReplicaId } from "../../src/common/ids/ReplicaId.ts";
import type { CreditOutcome } from "../../src/common/rpc/CreditOutcome.ts";
import type { LeaseAsk } from "../../src/common/rpc/LeaseAsk.ts";
import type { LeaseRelease } from "../../src/common/rpc/LeaseRelease.ts";
import type { LeaseReply } from "../../src/common/rpc/LeaseReply.ts";
import type { Voter } from "../../src/control/log/Voter.ts";
import { QuotaLeases } from "../../src/control/quota/QuotaLeases.ts";
import { VoterShares } from "../../src/control/quota/VoterShares.ts";
import { WorkspaceQuotas } from "../../src/control/quota/WorkspaceQuotas.ts";
import { NodeClock } from "./NodeClock.ts";
import type { QuotaModel } from "./QuotaModel.ts";
import type { QuotaModelOptions } from "./QuotaModelOptions.ts";

/** Age of the state of a voter in touch, ms. */
const STATE_AGE_MS = 200;

const voterOf = (id: string): Voter => ({ id: ReplicaId(id), address: id, zone: "" });

/** A control replica of the model: the parts of it that grant quotas. */
export class ModelVoter {
  readonly id: ReplicaId;
  readonly #model: QuotaModel;
  clock: NodeClock | undefined;
  #quotas: WorkspaceQuotas | undefined;
  #singles: WorkspaceQuotas | undefined;
  #leases: QuotaLeases | undefined;
  #shares: VoterShares | undefined;
  /** Time at which the state was last known to be current, ms; undefined while in touch. */
  #touchedAt: number | undefined;
  /** The group as this replica knows it. */
  voters: readonly Voter[];
  isRemoved = false;
  /** The quota in the document as this replica knows it. */
  quota: QuotaModelOptions["quota"];

  constructor(model: QuotaModel, n: number, voters?: readonly Voter[]) {
    this.#model = model;
    this.id = ReplicaId(`v${n}`);
    this.quota = model.quota;
    this.voters = voters ?? Array.from({ length: model.opts.voters }, (_, i) => voterOf(`v${i}`));
  }

  get role(): "follower" | "learner" {
    return this.voters.some((v) => v.id === this.id) ? "follower" : "learner";
  }

  get stateAgeMs(): number | undefined {
    const now = this.#model.sim.now();
    return this.#touchedAt === undefined ? STATE_AGE_MS : now - this.#touchedAt;
  }

  start(isFirstStart = false): void {
    const { sim, random, opts } = this.#model;
    const { tolerance, termMs, drift, fault } = opts;
    const clock = new NodeClock(sim, 1 + drift * (2 * random() - 1));
    const leaseTermMs = termMs;
    const shares = new VoterShares({
      replica: this,
      wantedVoters: opts.voters,
      leaseTermMs,
      clock,
    });
    const deps = {
      document: () => ({
        ...EMPTY_DOCUMENT,
        workspaces: [{ name: "w", apiKeys: [], quota: this.quota }],
      }),
      holders: () => shares.holders,
      tolerance: () => tolerance,
      isFirstStart: isFirstStart || fault === "forgetful",
      leaseTermMs,
      clock,
    };
    this.clock = clock;
    this.#shares = shares;
    this.#quotas = new WorkspaceQuotas(deps);
    this.#singles = new WorkspaceQuotas(deps);
    this.#leases = new QuotaLeases({ ...deps, quotas: this.#quotas, termMs, random });
  }

  crash(): void {
    this.clock?.end();
    this.clock = undefined;
  }

  /** Loses touch with the control group, with a state of unknown age, for `ms`. */
  loseTouch(ms: number): void {
    const { sim } = this.#model;
    this.#touchedAt ??= sim.now() - STATE_AGE_MS;
    sim.after(ms, () => {
      if (!this.isRemoved) {
        this.#touchedAt = undefined;
      }
    });
  }

  /** Learns the group. */
  see(voters: readonly Voter[]): void {
    this.voters = voters;
    this.#shares?.update();
  }

  ask(ask: LeaseAsk): LeaseReply {
    return this.#leases?.ask(ask) ?? { kind: "refused", reason: "disabled", holder: "", leftMs: 0 };
  }

  release(release: LeaseRelease): void {
    this.#leases?.release(release);
  }

  takeCredit(canLease: boolean): CreditOutcome {
    const outcome =
      this.#model.opts.fault === "both-methods"
        ? this.#singles?.take("w")
        : this.#leases?.takeCredit("w", canLease);
    if (outcome?.kind === "granted") {
      this.#model.noteGrant();
    }
    return outcome ?? { kind: "unavailable" };
  }
}
