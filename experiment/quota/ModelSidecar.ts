import { WorkspaceName } from "../../src/common/ids/WorkspaceName.ts";
import type { AdmissionReply } from "../../src/common/rpc/AdmissionReply.ts";
import type { HolderReply } from "../../src/common/rpc/HolderReply.ts";
import { CreditClient } from "../../src/sidecar/workspaces/CreditClient.ts";
import type { CreditResult } from "../../src/sidecar/workspaces/CreditResult.ts";
import { HolderRanking } from "../../src/sidecar/workspaces/leases/HolderRanking.ts";
import { LeasedCredits } from "../../src/sidecar/workspaces/leases/LeasedCredits.ts";
import { QuotaHolder } from "../../src/sidecar/workspaces/leases/QuotaHolder.ts";
import type { RankedSidecar } from "../../src/sidecar/workspaces/leases/RankedSidecar.ts";
import { NodeClock } from "./NodeClock.ts";
import type { QuotaModel } from "./QuotaModel.ts";
import type { QuotaModelOptions } from "./QuotaModelOptions.ts";

const WORKSPACE = WorkspaceName("w");

const noLog = { info: () => true, warn: () => true };

/** A sidecar of the model: it requests credits, and grants them as a quota holder. */
export class ModelSidecar {
  readonly id: string;
  /** Whether it uses leases. */
  readonly canLease: boolean;
  clock: NodeClock | undefined;
  holder: QuotaHolder | undefined;
  #credits: Pick<CreditClient, "take"> | undefined;
  /** The sidecars that this one believes to be live; another array after each change. */
  view: readonly RankedSidecar[];
  /** The quota in the document as this sidecar knows it. */
  quota: QuotaModelOptions["quota"];
  readonly #model: QuotaModel;

  constructor(model: QuotaModel, n: number) {
    this.#model = model;
    this.id = `s${n}`;
    this.quota = model.quota;
    this.canLease = n >= model.opts.singles;
    this.view = Array.from({ length: model.opts.sidecars }, (_, i) => ({
      id: `s${i}`,
      address: `s${i}`,
    }));
  }

  start(): void {
    const { sim, random, opts } = this.#model;
    const clock = new NodeClock(sim, 1 + opts.drift * (2 * random() - 1));
    this.clock = clock;
    const ranking = new HolderRanking(() => this.view);
    const singles = this.#createSingles(clock);
    const holder = this.#createHolder(clock, ranking);
    this.holder = holder;
    this.#credits = this.canLease
      ? new LeasedCredits({
          ask: (address) => this.#askHolder(address),
          giveBack: (address, _, grant) => {
            const other = this.#model.sidecar(address);
            this.#model.send(other, this.#linkTo(address), () => {
              other.putBack(grant);
            });
          },
          holder: {
            take: () => this.grant(true),
            putBack: (_, grant) => {
              this.putBack(grant);
            },
          },
          ranking,
          address: this.id,
          singles,
          clock,
        })
      : singles;
  }

  /** Ends the process at once. */
  crash(): void {
    this.clock?.end();
    this.clock = undefined;
  }

  take(): Promise<CreditResult> {
    return this.#credits?.take(WORKSPACE) ?? Promise.reject(new Error("not started"));
  }

  /** Grants a credit, and notes it. */
  async grant(isOwn: boolean): Promise<HolderReply> {
    if (!this.canLease || !this.holder) {
      return { kind: "disabled" };
    }
    const reply = await this.holder.take("w", isOwn);
    if (reply.kind !== "granted") {
      return reply;
    }
    return { ...reply, grant: `${reply.grant}/${this.#model.noteGrant()}` };
  }

  putBack(grant: string): void {
    const [process = "", takenAt = "", notedAt] = grant.split("/");
    this.holder?.putBack("w", `${process}/${takenAt}`);
    this.#model.noteReturn(Number(notedAt));
  }

  #createHolder(clock: NodeClock, ranking: HolderRanking): QuotaHolder {
    const model = this.#model;
    const { opts, random } = model;
    return new QuotaHolder({
      ask: (address, ask) => model.askLease(this, address, ask),
      release: (address, release) => {
        const voter = model.voter(address);
        model.send(voter, this.#linkTo(address), () => {
          voter.release(release);
        });
      },
      replicas: () => model.voters.map((v) => v.id),
      ranking,
      quotaOf: () => this.quota,
      address: this.id,
      process: Math.floor(random() * 2 ** 48),
      termMs: opts.fault === "from-reply" ? Infinity : opts.termMs,
      clock,
      elapsed: () => clock.elapsed(),
      onEvent: () => undefined,
      log: noLog,
    });
  }

  #createSingles(clock: NodeClock): CreditClient {
    const model = this.#model;
    const ask = (address: string): Promise<AdmissionReply> => {
      const voter = model.voter(address);
      return model.request(this, voter, this.#linkTo(address), () => ({
        version: 1,
        ageMs: 0,
        credit: voter.takeCredit(this.canLease),
      }));
    };
    const replicas = () => model.voters.map((v) => v.id);
    return new CreditClient({ ask, giveBack: () => undefined, replicas, clock });
  }

  #askHolder(address: string): Promise<HolderReply> {
    const other = this.#model.sidecar(address);
    return this.#model.request(this, other, this.#linkTo(address), () => other.grant(false));
  }

  #linkTo(address: string): string {
    return `${this.id}/${address}`;
  }
}
