import type { ProtoTypes } from "../common/ProtoTypes.ts";
import { ServiceName } from "../common/ServiceName.ts";
import type { SidecarId } from "../common/SidecarId.ts";
import { TargetId } from "../common/TargetId.ts";
import { ZoneName } from "../common/ZoneName.ts";
import type { Evidence } from "./Evidence.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Member = ProtoTypes["Member"];

/**
 * A target that has not re-announced itself for this long is taken as gone, ms.
 * Targets announce every 500 ms, so three are missed first.
 */
export const ANNOUNCE_TIMEOUT_MS = 1500;

/**
 * A member whose heartbeat has not risen for this long is taken as gone, with
 * its targets, ms. With a 200 ms gossip interval that is ten rounds, which
 * rides out a lost round or two yet removes a dead VM's targets within 2 s.
 */
export const MEMBER_TIMEOUT_MS = 2000;

/**
 * A silent member stays in the pool of record keepers for this long, ms. Cut
 * off is not gone: while it may still hold records, and may still be asked for
 * claims on its side of a cut, quorums must go on counting it. Long enough for
 * a cut to be noticed and callers' quick resends to end; short enough that a
 * lost machine's share of keys is at full strength again soon.
 */
const RECORD_MEMBER_TIMEOUT_MS = 30_000;

/** A sidecar as a keeper of records. */
interface RecordMember {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Rises with each start of its process: a restarted keeper may have lost its records. */
  readonly incarnation: number;
}

interface LocalTarget {
  target: ProtoTypes["Target"];
  at: number;
  probeFailing: boolean;
}

interface Heard {
  member: Member;
  /** Local time at which the heartbeat last rose. */
  seenAt: number;
}

/**
 * The fleet's membership as one sidecar sees it: its own targets from their
 * announcements, and other sidecars' member entries from gossip, each
 * versioned by (incarnation, heartbeat) so the newest always wins a merge.
 */
export class TargetTable {
  readonly #self: Member;
  readonly #now: () => number;
  readonly #local = new Map<string, LocalTarget>();
  readonly #remote = new Map<string, Heard>();

  /** `now` gives the local clock in ms; tests pass a fake. */
  constructor(self: { id: SidecarId; peerAddress: string; zone: ZoneName }, now: () => number) {
    this.#now = now;
    this.#self = {
      sidecar_id: self.id,
      peer_address: self.peerAddress,
      zone: self.zone,
      heartbeat: 0,
      incarnation: now(),
      targets: [],
      evidence: [],
    };
  }

  /** Records an announcement by a target beside this sidecar. */
  announce(target: ProtoTypes["Target"]): void {
    const probeFailing = this.#local.get(target.target_id)?.probeFailing ?? false;
    this.#local.set(target.target_id, { target, at: this.#now(), probeFailing });
  }

  /** Records what a health probe of a target beside this sidecar found. */
  noteProbe(targetId: TargetId, failing: boolean): void {
    const local = this.#local.get(targetId);
    if (local) {
      local.probeFailing = failing;
    }
  }

  /** Sets what this sidecar tells its peers about the targets it uses. */
  publishEvidence(evidence: readonly Evidence[]): void {
    this.#self.evidence = evidence.map(toWire);
  }

  /** What live peers say of each target. */
  peerEvidence(): Map<TargetId, Evidence[]> {
    const now = this.#now();
    const out = new Map<TargetId, Evidence[]>();
    for (const { member, seenAt } of this.#liveRemote()) {
      for (const raw of member.evidence) {
        const e = fromWire(raw, now - seenAt);
        const list = out.get(e.target);
        if (list) {
          list.push(e);
        } else {
          out.set(e.target, [e]);
        }
      }
    }
    return out;
  }

  /** Live targets beside this sidecar. */
  localTargets(): TargetInfo[] {
    return this.#liveLocal().map((t) => toInfo(t, this.#self));
  }

  /** Raises our own heartbeat; called once a gossip round. */
  beat(): void {
    this.#self.heartbeat += 1;
  }

  /** Our own entry and every live remote one, to send to a peer. */
  digest(): Member[] {
    const own = { ...this.#self, targets: this.#liveLocal() };
    return [own, ...this.#liveRemote().map((h) => h.member)];
  }

  /** Takes in a peer's digest: each entry replaces ours when it is newer. */
  merge(digest: Pick<ProtoTypes["Digest"], "members">): void {
    for (const member of digest.members) {
      if (member.sidecar_id === this.#self.sidecar_id) {
        continue;
      }
      const known = this.#remote.get(member.sidecar_id);
      if (!known || isNewer(member, known.member)) {
        this.#remote.set(member.sidecar_id, { member, seenAt: this.#now() });
      }
    }
  }

  /** Peer addresses of live members, for choosing whom to gossip with. */
  peerAddresses(): string[] {
    return this.#liveRemote().map((h) => h.member.peer_address);
  }

  /** Sidecars that keep records of non-idempotent requests, this one included. */
  recordPool(): RecordMember[] {
    const cutoff = this.#now() - RECORD_MEMBER_TIMEOUT_MS;
    const heard = [...this.#remote.values()].filter((h) => h.seenAt >= cutoff);
    return [this.#self, ...heard.map((h) => h.member)].map((m) => ({
      id: m.sidecar_id,
      zone: m.zone,
      peerAddress: m.peer_address,
      incarnation: m.incarnation,
    }));
  }

  /** Every live target of `service`, in any state. */
  targetsOf(service: ServiceName): TargetInfo[] {
    return this.allTargets().filter((t) => t.service === service);
  }

  /** Every live target the sidecar knows of. */
  allTargets(): TargetInfo[] {
    const own = this.localTargets();
    const others = this.#liveRemote().flatMap((h) =>
      h.member.targets.map((t) => toInfo(t, h.member)),
    );
    return [...own, ...others];
  }

  /** Number of live members, this one included. */
  get memberCount(): number {
    return 1 + this.#liveRemote().length;
  }

  #liveLocal(): ProtoTypes["Target"][] {
    const cutoff = this.#now() - ANNOUNCE_TIMEOUT_MS;
    return [...this.#local.values()]
      .filter((e) => e.at >= cutoff)
      .map((e) => ({ ...e.target, probe_failing: e.probeFailing }));
  }

  #liveRemote(): Heard[] {
    const cutoff = this.#now() - MEMBER_TIMEOUT_MS;
    return [...this.#remote.values()].filter((h) => h.seenAt >= cutoff);
  }
}

function isNewer(a: Member, b: Member): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  return a.heartbeat > b.heartbeat;
}

function toInfo(t: ProtoTypes["Target"], beside: Member): TargetInfo {
  return {
    id: TargetId(t.target_id),
    service: ServiceName(t.service),
    url: t.url,
    slots: t.slots,
    state: toTargetState(t.state),
    zone: ZoneName(beside.zone),
    peerAddress: beside.peer_address,
    healthPath: t.health_path,
    probeFailing: t.probe_failing,
  };
}

function toWire(e: Evidence): ProtoTypes["Evidence"] {
  return {
    target_id: e.target,
    failure_score: e.failureScore,
    late_score: e.lateScore,
    recent_ok: e.recentOk,
    last_bad_age_ms: Math.round(e.lastBadAgeMs),
  };
}

/** `heardMsAgo` is added to the ages in it: evidence grows old while it waits here. */
function fromWire(e: ProtoTypes["Evidence"], heardMsAgo: number): Evidence {
  return {
    target: TargetId(e.target_id),
    failureScore: e.failure_score,
    lateScore: e.late_score,
    recentOk: e.recent_ok,
    lastBadAgeMs: e.last_bad_age_ms + heardMsAgo,
  };
}

/** A state name from the wire; an unknown one (a newer peer's) counts as cold, so it gets no work. */
function toTargetState(raw: string): TargetState {
  switch (raw) {
    case "ready":
      return TargetState.Ready;
    case "draining":
      return TargetState.Draining;
    default:
      return TargetState.Cold;
  }
}
