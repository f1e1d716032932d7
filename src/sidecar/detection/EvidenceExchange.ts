import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Evidence } from "./Evidence.ts";
import type { EvidenceSource } from "./EvidenceSource.ts";
import { evidenceWire } from "./evidenceWire.ts";
import { RECENT_MS } from "./RECENT_MS.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

type Bundle = ProtoTypes["EvidenceBundle"];

/** What a peer said is dropped after this long, ms. */
const HEARSAY_TTL_MS = 10_000;

/** A peer that asked about a service's targets sends it traffic, and is told of them, for this long, ms. */
const INTEREST_TTL_MS = 60_000;

/** Evidence about a service is sent out at most this often, ms. */
const MIN_SHARE_GAP_MS = 80;

/** Peers told at once; with more than that, a random part of them. */
const MAX_PEERS = 24;

interface Heard {
  readonly evidence: Evidence;
  readonly at: number;
}

interface EvidenceExchangeDeps {
  readonly selfId: string;
  readonly selfAddress: string;
  readonly share: (address: string, bundle: Bundle) => Promise<Bundle>;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  readonly random: () => number;
}

/**
 * Tells the sidecars concerned with a service what was seen of its targets, and
 * hears what they saw, only when there is something bad to tell: a healthy fleet
 * exchanges nothing. Concerned are those beside its targets and those that have
 * lately asked. A bundle carries what its sender heard from others too, so that
 * good word of a target travels with the bad.
 */
export class EvidenceExchange implements EvidenceSource {
  readonly #deps: EvidenceExchangeDeps;
  readonly #heard = new Map<TargetId, Map<string, Heard>>();
  readonly #interested = new Map<string, Map<string, number>>();
  readonly #sharedAt = new Map<string, number>();
  #own = new Map<TargetId, Evidence>();

  constructor(deps: EvidenceExchangeDeps) {
    this.#deps = deps;
  }

  /** Sets what this sidecar itself has seen, for answers to peers. */
  publish(own: Map<TargetId, Evidence>): void {
    this.#own = own;
  }

  /** What peers have lately said of `target`. */
  about(target: TargetId): Evidence[] {
    const heard = this.#heard.get(target);
    return heard ? [...heard.values()].flatMap((h) => this.#aged(h) ?? []) : [];
  }

  /** How many sidecars are concerned with `service`, this one included. */
  groupSize(service: string, hosts: ReadonlySet<string>): number {
    return this.#group(service, hosts).length + 1;
  }

  /** Tells the group of a service about its suspicious `targets`, unless it was told just now. */
  async share(
    service: string,
    targets: readonly TargetInfo[],
    hosts: ReadonlySet<string>,
  ): Promise<void> {
    const now = this.#deps.now();
    if (now - (this.#sharedAt.get(service) ?? -Infinity) < MIN_SHARE_GAP_MS) {
      return;
    }
    this.#sharedAt.set(service, now);
    const ids = targets.map((t) => t.id);
    const group = this.#pick(this.#group(service, hosts));
    // Once with what is known here; once more with what the group answered, so
    // that everyone weighs the good word of it together with the bad.
    for (let turn = 0; turn < 2; turn++) {
      const bundle = this.#bundle(ids);
      await Promise.allSettled(
        group.map(async (address) => {
          this.#takeIn(await this.#deps.share(address, bundle));
        }),
      );
    }
  }

  /** Answers a peer's bundle with what is known here of the same targets. */
  onShare(bundle: Bundle, serviceOf: (target: TargetId) => string | undefined): Bundle {
    this.#takeIn(bundle);
    const ids = new Set(
      bundle.testimonies.flatMap((t) =>
        t.evidence ? [evidenceWire.decode(t.evidence).target] : [],
      ),
    );
    for (const id of ids) {
      this.#noteInterest(serviceOf(id), bundle.sender_address);
    }
    return this.#bundle([...ids]);
  }

  #bundle(targets: readonly TargetId[]): Bundle {
    const testimonies = targets.flatMap((target) => {
      // A peer that has seen nothing says so: silence would look like being cut off.
      const own = this.#own.get(target) ?? nothingSeen(target);
      const others = [...(this.#heard.get(target) ?? [])].flatMap(([observer, h]) => {
        const evidence = this.#aged(h);
        const ageMs = this.#deps.now() - h.at;
        return evidence ? [toTestimony(observer, h.evidence, ageMs)] : [];
      });
      return [toTestimony(this.#deps.selfId, own, 0), ...others];
    });
    return { sender_address: this.#deps.selfAddress, testimonies };
  }

  #takeIn(bundle: Bundle): void {
    for (const { observer, evidence: raw, age_ms: ageMs } of bundle.testimonies) {
      if (!raw || observer === this.#deps.selfId) {
        continue;
      }
      const evidence = evidenceWire.decode(raw);
      const at = this.#deps.now() - ageMs;
      const observers = this.#heard.get(evidence.target) ?? new Map<string, Heard>();
      if (at > (observers.get(observer)?.at ?? -Infinity)) {
        observers.set(observer, { evidence, at });
        this.#heard.set(evidence.target, observers);
      }
    }
  }

  /** What was heard, as it stands now: its ages have grown, and old good answers vouch no more. */
  #aged(h: Heard): Evidence | undefined {
    const age = this.#deps.now() - h.at;
    if (age > HEARSAY_TTL_MS) {
      return undefined;
    }
    const recentOk = age <= RECENT_MS ? h.evidence.recentOk : 0;
    return { ...h.evidence, recentOk, lastBadAgeMs: h.evidence.lastBadAgeMs + age };
  }

  #group(service: string, hosts: ReadonlySet<string>): string[] {
    const cutoff = this.#deps.now() - INTEREST_TTL_MS;
    const asked = [...(this.#interested.get(service) ?? [])].filter(([, at]) => at >= cutoff);
    const all = new Set([...hosts, ...asked.map(([address]) => address)]);
    all.delete(this.#deps.selfAddress);
    return [...all];
  }

  #noteInterest(service: string | undefined, address: string): void {
    if (service === undefined) {
      return;
    }
    const asked = this.#interested.get(service) ?? new Map<string, number>();
    asked.set(address, this.#deps.now());
    this.#interested.set(service, asked);
  }

  #pick(group: string[]): string[] {
    if (group.length <= MAX_PEERS) {
      return group;
    }
    const start = Math.floor(this.#deps.random() * group.length);
    return [...group.slice(start), ...group.slice(0, start)].slice(0, MAX_PEERS);
  }
}

function toTestimony(observer: string, evidence: Evidence, ageMs: number): ProtoTypes["Testimony"] {
  return { observer, evidence: evidenceWire.encode(evidence), age_ms: Math.round(ageMs) };
}

function nothingSeen(target: TargetId): Evidence {
  return { target, failureScore: 0, lateScore: 0, recentOk: 0, lastBadAgeMs: HEARSAY_TTL_MS };
}
