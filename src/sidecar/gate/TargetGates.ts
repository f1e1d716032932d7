import type bunyan from "bunyan";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { Gate } from "./Gate.ts";
import type { GrantIds } from "./GrantIds.ts";

interface TargetGatesDeps {
  /** Targets beside this sidecar now. */
  readonly targets: () => readonly TargetInfo[];
  readonly detectorOf: (target: TargetInfo) => HealthDetector;
  readonly clock: Clock;
  readonly log: bunyan;
  readonly grants: GrantIds;
  /** Whether a run that began at the time given may be waiting for a call of its own. */
  readonly waitsForCall?: (since: number) => boolean;
  /** Told when a target is thought of otherwise. */
  readonly onJudged?: (target: TargetId, load: GateLoad) => void;
  /** Told of a target that has started again under its id, after the gate to its last life was retired. */
  readonly onNewLife?: (target: TargetInfo) => void;
}

/** The gate to one life of a target. */
interface GateEntry {
  readonly born: number;
  readonly gate: Gate;
}

/** The gates to the targets beside this sidecar: mostly one, two while one takes another's place. */
export class TargetGates {
  readonly #deps: TargetGatesDeps;
  readonly #gates = new Map<TargetId, GateEntry>();
  #closed = false;
  #shutdownAt: number | undefined;

  constructor(deps: TargetGatesDeps) {
    this.#deps = deps;
  }

  /** The gate to a target that is here; undefined when it is not. */
  get(id: TargetId): Gate | undefined {
    const target = this.#deps.targets().find((t) => t.id === id);
    if (target) {
      this.#retirePreviousIncarnation(target);
    }
    return this.#gates.get(id)?.gate ?? (target && this.#createGate(target));
  }

  /** Targets have come, changed or gone: what waits for one of them is weighed again. */
  targetsChanged(): void {
    const targets = this.#deps.targets();
    for (const target of targets) {
      this.#retirePreviousIncarnation(target);
    }
    const here = new Set(targets.map((t) => t.id));
    for (const [id, { gate }] of this.#gates) {
      gate.targetChanged();
      if (!here.has(id) && !gate.isBusy) {
        this.#gates.delete(id);
      }
    }
  }

  /** This sidecar is being stopped, and ends at `endAt`, ms: see {@link Gate.closeBy}. */
  closeBy(endAt: number): void {
    this.#shutdownAt = endAt;
    for (const [target, { gate }] of this.#gates) {
      const { busy, queued, serviceMs } = gate.load;
      this.#deps.log.info({ target, busy, queued, serviceMs }, "gate closing");
      gate.closeBy(endAt);
    }
  }

  /** Takes no more asks. Runs under way go on. */
  close(): void {
    this.#closed = true;
    for (const [target, { gate }] of this.#gates) {
      const { busy, queued } = gate.load;
      this.#deps.log.info({ target, busy, queued }, "gate closed");
      gate.close();
    }
  }

  /** True while a slot of any target is granted or in use. */
  get isBusy(): boolean {
    return [...this.#gates.values()].some(({ gate }) => gate.isBusy);
  }

  /**
   * Retires the gate to an earlier life of `target`. A target that starts again holds nothing
   * of before: a run given to its last life would otherwise be waited for until its deadline,
   * its slot be counted as taken, and the failures of that life be held against this one.
   */
  #retirePreviousIncarnation(target: TargetInfo): void {
    const entry = this.#gates.get(target.id);
    if (!entry || entry.born === target.born) {
      return;
    }
    this.#gates.delete(target.id);
    entry.gate.retire();
    const { id, born } = target;
    this.#deps.log.info({ target: id, born, before: entry.born }, "target started again");
    this.#deps.onNewLife?.(target);
  }

  #createGate(target: TargetInfo): Gate {
    const { clock, grants, detectorOf, targets, log, waitsForCall } = this.#deps;
    const { id, born } = target;
    const gate = new Gate({
      target: () => {
        const now = targets().find((t) => t.id === id && t.born === born);
        return now && { slots: now.slots, takesWork: now.state === TargetState.Ready };
      },
      detector: detectorOf(target),
      waitsForCall,
      onJudged: (load) => {
        this.#deps.onJudged?.(id, load);
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
    this.#gates.set(id, { born, gate });
    log.info({ target: id, service: target.service, slots: target.slots }, "target here");
    return gate;
  }
}
