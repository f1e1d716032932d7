import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** One probe per target this often, ms: by the sidecar beside it only, however large the fleet. */
const PROBE_INTERVAL_MS = 1000;

/** What the prober needs; passed in so tests can fake each. */
interface HealthProberDeps {
  readonly targets: () => readonly TargetInfo[];
  readonly probe: (target: TargetInfo) => Promise<boolean>;
  readonly note: (target: TargetId, failing: boolean) => void;
}

/**
 * Watches the targets beside this sidecar through their health endpoints. The
 * result goes out with gossip as a second signal that only backs up evidence
 * from traffic, since health endpoints lag or lie.
 */
export class HealthProber extends Disposable {
  readonly #deps: HealthProberDeps;

  constructor(deps: HealthProberDeps) {
    super();
    this.#deps = deps;
  }

  /** Starts probing until disposed. */
  start(): void {
    this.register(every(PROBE_INTERVAL_MS, () => void this.probeAll()));
  }

  /** Probes each target beside this sidecar once. */
  async probeAll(): Promise<void> {
    const targets = this.#deps.targets().filter((t) => t.healthPath !== "");
    await Promise.all(
      targets.map(async (t) => {
        this.#deps.note(t.id, !(await this.#deps.probe(t)));
      }),
    );
  }
}
