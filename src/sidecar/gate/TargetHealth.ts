import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";

/** A run that has ended, as the health detector is told of it. */
interface EndedRun {
  readonly outcome: AttemptOutcome;
  /** Duration of the run, ms. */
  readonly ms: number;
  /** Typical duration of such runs, ms; 0 if unknown. */
  readonly typicalMs: number;
  /** The run has been recorded as overdue. */
  readonly wasOverdue: boolean;
}

interface TargetHealthDeps {
  readonly detector: HealthDetector;
  /** Called when the health state of the target changes: healthy, suspect or ejected. */
  readonly onChange: () => void;
}

/** Passes the outcomes of runs to the health detector of a target, and reports changes of the target's state. */
export class TargetHealth {
  readonly #deps: TargetHealthDeps;

  constructor(deps: TargetHealthDeps) {
    this.#deps = deps;
  }

  /** Records a run that has taken `ms` so far, several times as long as is typical. */
  recordOverdue(ms: number): void {
    this.#update((detector) => {
      detector.recordOverdue(ms);
    });
  }

  /** Records the end of a run. */
  recordEnd({ outcome, ms, typicalMs, wasOverdue }: EndedRun): void {
    // A run that was overdue and then timed out counts as a single observation.
    if (wasOverdue && outcome === AttemptOutcome.TimedOut) {
      return;
    }
    this.#update((detector) => {
      detector.recordOutcome(outcome, ms, typicalMs);
    });
  }

  #update(record: (detector: HealthDetector) => void): void {
    const { detector, onChange } = this.#deps;
    const before = this.#state;
    record(detector);
    if (this.#state !== before) {
      onChange();
    }
  }

  get #state(): "ejected" | "suspect" | "healthy" {
    const { detector } = this.#deps;
    return detector.isEjected ? "ejected" : detector.isSuspect ? "suspect" : "healthy";
  }
}
