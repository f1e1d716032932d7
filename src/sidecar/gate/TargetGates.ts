import type bunyan from "bunyan";
import type { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { FairRefusal } from "../fairness/FairShares.ts";
import type { FairShareRule } from "../fairness/FairShareRule.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { Gate } from "./Gate.ts";
import type { GrantIds } from "./GrantIds.ts";

interface TargetGatesDeps {
  /** The current local targets. */
  readonly targets: () => readonly TargetInfo[];
  readonly detectorOf: (target: TargetInfo) => HealthDetector;
  readonly clock: Clock;
  readonly log: bunyan;
  readonly grants: GrantIds;
  /** Total size of the request bodies that a target can hold at once, bytes; by default it is not known. */
  readonly maxRequestBytes?: (target: TargetInfo) => number | undefined;
  /** Whether a run that began at `since` (ms) may be waiting for a nested call. */
  readonly mayAwaitNestedCall?: (since: number) => boolean;
  /** Called when the health state of a target changes. */
  readonly onHealthChange?: (target: TargetId, load: GateLoad) => void;
  /** Called when a target's demand for work changes, and repeatedly while there is one. */
  readonly onDemandChange?: (target: TargetId, load: GateLoad) => void;
  /** Called when a target of a service is idle while the service fails requests. */
  readonly onDemand?: (service: ServiceName) => void;
  /** How slot time is shared among workspaces at targets of a service; undefined, or absent, while that is off. */
  readonly fairShareRule?: (service: ServiceName) => FairShareRule | undefined;
  /** Called when a full queue of a target of a service refuses a request for fairness. */
  readonly onFairRefusal?: (service: ServiceName) => void;
  /** Called when a target has restarted under its id, after the gate of its previous incarnation was retired. */
  readonly onTargetRestart?: (target: TargetInfo) => void;
}

/** The gate of one incarnation of a target. */
interface GateEntry {
  readonly born: number;
  readonly gate: Gate;
  /** Last value of the limit header that could not be read; reported once. */
  invalidLimit: string | undefined;
}

/** The gates of the local targets: usually one, two while one target replaces another. */
export class TargetGates {
  readonly #deps: TargetGatesDeps;
  readonly #gates = new Map<TargetId, GateEntry>();
  #closed = false;
  #shutdownAt: number | undefined;

  constructor(deps: TargetGatesDeps) {
    this.#deps = deps;
  }

  /** The gate of a local target; undefined if there is no such target. */
  get(id: TargetId): Gate | undefined {
    const target = this.#deps.targets().find((t) => t.id === id);
    if (target) {
      this.#retirePreviousIncarnation(target);
    }
    return this.#gates.get(id)?.gate ?? (target && this.#createGate(target));
  }

  /** Records what a response to a request that was sent at `sentAt` (ms) says of a target's limit. */
  recordLimit({ id, born }: TargetInfo, signal: LimitSignal, sentAt: number): void {
    const entry = this.#gates.get(id);
    if (entry?.born !== born) {
      return;
    }
    if (signal.kind === "invalid" && entry.invalidLimit !== signal.text) {
      entry.invalidLimit = signal.text;
      this.#deps.log.warn({ target: id, value: signal.text }, "target names an invalid limit");
    }
    entry.gate.recordLimit(signal, sentAt);
  }

  /** Evaluates the queues of all gates again: targets have appeared, changed or left. */
  targetsChanged(): void {
    const targets = this.#deps.targets();
    for (const target of targets) {
      this.#retirePreviousIncarnation(target);
    }
    const localIds = new Set(targets.map((t) => t.id));
    for (const [id, { gate }] of this.#gates) {
      gate.reevaluateQueue();
      if (!localIds.has(id) && !gate.isBusy) {
        this.#gates.delete(id);
      }
    }
  }

  /** Announces that this sidecar exits at `endAt` (ms): see {@link Gate.closeBy}. */
  closeBy(endAt: number): void {
    this.#shutdownAt = endAt;
    for (const [target, { gate }] of this.#gates) {
      const { busy, queued, serviceMs } = gate.load;
      this.#deps.log.info({ target, busy, queued, serviceMs }, "gate closing");
      gate.closeBy(endAt);
    }
  }

  /** Refuses all further slot requests. Runs in progress continue. */
  close(): void {
    this.#closed = true;
    for (const [target, { gate }] of this.#gates) {
      const { busy, queued } = gate.load;
      this.#deps.log.info({ target, busy, queued }, "gate closed");
      gate.close();
    }
  }

  /** Publishes which targets want work: see {@link Gate.updateDemand}. */
  updateDemand(): void {
    for (const { gate } of this.#gates.values()) {
      gate.updateDemand();
    }
  }

  /** Logs the ready targets that have been idle for long, with what their gates did meanwhile. */
  reportIdle(): void {
    for (const [target, { gate }] of this.#gates) {
      const idle = gate.takeIdleReport();
      if (idle) {
        const { load } = gate;
        this.#deps.log.info({ target, ...idle, isClosed: this.#closed, load }, "target idle");
      }
    }
  }

  /** The limits that local targets name, requests a second. */
  limits(): { target: TargetId; service: ServiceName; perS: number }[] {
    return this.#deps.targets().flatMap(({ id, service }) => {
      const perS = this.#gates.get(id)?.gate.load.limitPerS;
      return perS === undefined ? [] : [{ target: id, service, perS }];
    });
  }

  /** Recent shares of slot time at local targets whose service shares it among workspaces; see FairShares. */
  slotTimeShares(): { target: TargetId; service: ServiceName; user: string; share: number }[] {
    return this.#deps.targets().flatMap(({ id: target, service }) => {
      const shares = this.#gates.get(target)?.gate.slotTimeShares ?? [];
      return shares.map((share) => ({ target, service, ...share }));
    });
  }

  /** Whether any slot of any target is granted or in use. */
  get isBusy(): boolean {
    return [...this.#gates.values()].some(({ gate }) => gate.isBusy);
  }

  /**
   * Retires the gate of a previous incarnation of `target`. A restarted target has lost its earlier runs: their
   * senders would otherwise wait until the deadlines, their slots would count as in use, and the failures of that
   * incarnation would count against the new one.
   */
  #retirePreviousIncarnation(target: TargetInfo): void {
    const entry = this.#gates.get(target.id);
    if (!entry || entry.born === target.born) {
      return;
    }
    this.#gates.delete(target.id);
    entry.gate.retire();
    const { id, born } = target;
    this.#deps.log.info({ target: id, born, before: entry.born }, "target restarted");
    this.#deps.onTargetRestart?.(target);
  }

  #createGate(target: TargetInfo): Gate {
    const { clock, grants, detectorOf, targets, log, mayAwaitNestedCall } = this.#deps;
    const { id, born } = target;
    const gate = new Gate({
      target: () => {
        const now = targets().find((t) => t.id === id && t.born === born);
        return (
          now && {
            slots: now.slots,
            maxRequestBytes: this.#deps.maxRequestBytes?.(now),
            acceptsRequests: now.state === TargetState.Ready,
          }
        );
      },
      detector: detectorOf(target),
      mayAwaitNestedCall,
      fairShareRule: () => this.#deps.fairShareRule?.(target.service),
      onFairRefusal: (refusal) => {
        this.#reportFairRefusal(target, refusal);
      },
      onHealthChange: (load) => {
        this.#deps.onHealthChange?.(id, load);
      },
      onDemandChange: (load) => {
        this.#deps.onDemandChange?.(id, load);
      },
      onDemand: (unservedShare) => {
        this.#deps.log.info({ target: id, unservedShare, load: gate.load }, "target wants work");
        this.#deps.onDemand?.(target.service);
      },
      onLimitChange: (change) => {
        this.#deps.log.info({ target: id, ...change }, "target limit");
      },
      clock,
      grants,
    });
    if (this.#shutdownAt !== undefined) {
      gate.closeBy(this.#shutdownAt);
    }
    if (this.#closed) {
      gate.close();
    }
    this.#gates.set(id, { born, gate, invalidLimit: undefined });
    log.info({ target: id, service: target.service, slots: target.slots }, "target here");
    return gate;
  }

  #reportFairRefusal({ id, service }: TargetInfo, refusal: FairRefusal): void {
    const { workspace, weight, waiting } = refusal;
    const { attempt } = waiting.request;
    const [share, fairShare] = [rounded(refusal.share), rounded(refusal.fairShare)];
    const details = { attempt, target: id, workspace, share, fairShare, weight };
    this.#deps.log.info(details, "slot refused for fair shares");
    this.#deps.onFairRefusal?.(service);
  }
}

function rounded(share: number): number {
  return Math.round(share * 1000) / 1000;
}
