import { seededRandom } from "../../test/fixtures/seededRandom.ts";
import type { LeaseAsk } from "../../src/common/rpc/LeaseAsk.ts";
import { leaseCodec } from "../../src/common/rpc/leaseCodec.ts";
import type { LeaseReply } from "../../src/common/rpc/LeaseReply.ts";
import { SimClock } from "../SimClock.ts";
import { ModelSidecar } from "./ModelSidecar.ts";
import { ModelVoter } from "./ModelVoter.ts";
import type { NodeClock } from "./NodeClock.ts";
import type { QuotaModelOptions } from "./QuotaModelOptions.ts";

/** Time without a reply after which a request has failed, ms; see DatagramLink. */
const REQUEST_TIMEOUT_MS = 300;

/** Time after which all processes have a document, ms. */
const DOCUMENT_MS = 2000;

/** Longest delay of a message that is late, ms. */
const LATE_MS = 3000;

/** A simulated process that may be started again. */
interface ModelNode {
  readonly clock: NodeClock | undefined;
}

/**
 * Sidecars and control voters that grant credits of one workspace, with the product's own classes, on simulated clocks
 * and a network that loses and delays messages.
 */
export class QuotaModel {
  readonly sim = new SimClock();
  readonly random: () => number;
  readonly opts: QuotaModelOptions;
  readonly voters: ModelVoter[];
  readonly sidecars: ModelSidecar[];
  /** Times at which credits were granted that were not returned, ms. */
  readonly grantedAt: number[] = [];
  /** Called when a sidecar has sent a request for a lease. */
  onLeaseAsk: (from: ModelSidecar) => void = () => undefined;
  /** The quota in the newest document. */
  quota: QuotaModelOptions["quota"];
  readonly #cut = new Set<string>();

  constructor(opts: QuotaModelOptions) {
    this.opts = opts;
    this.quota = opts.quota;
    this.random = seededRandom(opts.seed);
    this.voters = Array.from({ length: opts.voters }, (_, n) => new ModelVoter(this, n));
    this.sidecars = Array.from({ length: opts.sidecars }, (_, n) => new ModelSidecar(this, n));
    this.voters.forEach((voter) => {
      voter.start(true);
    });
    this.sidecars.forEach((sidecar) => {
      sidecar.start();
    });
  }

  /** Sends a request of `from` to `to`; `handle` runs there. Rejects without a reply in time. */
  request<T>(
    from: ModelNode,
    to: ModelNode,
    link: string,
    handle: () => T | Promise<T>,
  ): Promise<T> {
    const { clock } = from;
    return new Promise((resolve, reject) => {
      const timer = clock?.timeout(REQUEST_TIMEOUT_MS, () => {
        reject(new Error("no reply"));
      });
      this.send(to, link, () => {
        void Promise.resolve(handle()).then((reply) => {
          this.send({ clock }, link, () => {
            timer?.cancel();
            resolve(reply);
          });
        });
      });
    });
  }

  /** Sends a message over `link`, which may be cut; it may get lost, or arrive late. */
  send(to: ModelNode, link: string, deliver: () => void): void {
    const { loss, lateShare, delayMs } = this.opts;
    if (this.#cut.has(link) || this.random() < loss) {
      return;
    }
    const isLate = this.random() < lateShare;
    const ms = this.random() * (isLate ? LATE_MS : 2 * delayMs);
    this.sim.after(ms, () => {
      to.clock?.run(deliver);
    });
  }

  /** Requests a lease; with the fault `from-reply`, the holder counts its term from the reply. */
  async askLease(from: ModelSidecar, address: string, ask: LeaseAsk): Promise<LeaseReply> {
    const voter = this.voter(address);
    const sentAt = this.sim.now();
    const replied = this.request(from, voter, `${from.id}/${voter.id}`, () =>
      leaseCodec.encodeReply(voter.ask(leaseCodec.decodeAsk(leaseCodec.encodeAsk(ask)))),
    );
    this.onLeaseAsk(from);
    const raw = await replied;
    const reply = leaseCodec.decodeReply(raw);
    const extraMs = this.opts.fault === "from-reply" ? this.sim.now() - sentAt : 0;
    return reply.kind === "granted" ? { ...reply, termMs: reply.termMs + extraMs } : reply;
  }

  voter(address: string): ModelVoter {
    const voter = this.voters.find((v) => v.id === address);
    if (!voter) {
      throw new Error(`no voter ${address}`);
    }
    return voter;
  }

  sidecar(address: string): ModelSidecar {
    const sidecar = this.sidecars.find((s) => s.id === address);
    if (!sidecar) {
      throw new Error(`no sidecar ${address}`);
    }
    return sidecar;
  }

  /** Cuts the path between two processes for `ms`. */
  cut(link: string, ms: number): void {
    this.#cut.add(link);
    this.sim.after(ms, () => {
      this.#cut.delete(link);
    });
  }

  /** Changes the quota; all processes have the document after {@link DOCUMENT_MS}. */
  changeQuota(quota: QuotaModelOptions["quota"]): void {
    this.quota = quota;
    [...this.voters, ...this.sidecars].forEach((node) => {
      this.sim.after(this.random() * DOCUMENT_MS, () => {
        node.quota = quota;
      });
    });
  }

  noteGrant(): number {
    const at = this.sim.now();
    this.grantedAt.push(at);
    return at;
  }

  /** Removes a grant that was returned: its request has not run. */
  noteReturn(at: number): void {
    const index = this.grantedAt.lastIndexOf(at);
    if (index >= 0) {
      this.grantedAt.splice(index, 1);
    }
  }

  /** Most grants in any window that begins at `sinceMs` or later, and when it began, ms. */
  mostInWindow(windowMs: number, sinceMs = 0): { count: number; from: number } {
    const most = { count: 0, from: 0 };
    let end = 0;
    this.grantedAt.forEach((from, i) => {
      while ((this.grantedAt[end] ?? Infinity) < from + windowMs) {
        end += 1;
      }
      if (from >= sinceMs && end - i > most.count) {
        most.count = end - i;
        most.from = from;
      }
    });
    return most;
  }
}
