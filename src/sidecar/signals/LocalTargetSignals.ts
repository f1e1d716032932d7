import type bunyan from "bunyan";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import type { Dialect } from "../dialect/Dialect.ts";
import type { TargetGates } from "../gate/TargetGates.ts";
import { fetchHealth } from "../liveness/fetchHealth.ts";
import { ReturnCheck } from "../liveness/ReturnCheck.ts";
import type { TargetSignals } from "./TargetSignals.ts";

interface LocalTargetSignalsDeps {
  readonly table: TargetTable;
  readonly gates: Pick<TargetGates, "get" | "recordLimit">;
  readonly dialect: Pick<Dialect, "readSignals">;
  readonly document: () => OperatorDocument | undefined;
  /** Called when a target has begun to leave, or is not leaving after all. */
  readonly onTargetsChanged: () => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** Applies what local targets say about themselves in their responses and health checks. */
export class LocalTargetSignals {
  readonly #deps: LocalTargetSignalsDeps;
  readonly #returnCheck: ReturnCheck;

  constructor(deps: LocalTargetSignalsDeps) {
    this.#deps = deps;
    const { table, gates, dialect, clock, log } = deps;
    this.#returnCheck = new ReturnCheck({
      targets: () => table.announcedReady(),
      unusedMs: (target) => table.leavingForMs(target) ?? gates.get(target.id)?.unusedMs ?? 0,
      healthPath: (target) => this.#healthPathOf(target),
      fetchHealth,
      readSignals: (...args) => dialect.readSignals(...args),
      onSignals: (...args) => {
        this.record(...args);
      },
      onReturn: (target) => {
        this.#recordReturn(target);
      },
      clock,
      log,
    });
  }

  /** Records what a response to a request that was sent at `sentAt` (ms) says about a target. */
  record(target: TargetInfo, { limit, isLeaving }: TargetSignals, sentAt: number): void {
    const { gates, table, log, onTargetsChanged } = this.#deps;
    gates.recordLimit(target, limit, sentAt);
    if (isLeaving && table.noteLeaving(target)) {
      log.info({ target: target.id }, "target is leaving by its response");
      onTargetsChanged();
    }
  }

  /** Checks the targets that have not been used for long: see {@link ReturnCheck}. */
  async checkUnused(): Promise<void> {
    await this.#returnCheck.run();
  }

  #recordReturn(target: TargetInfo): void {
    const { table, log, onTargetsChanged } = this.#deps;
    if (table.noteResumed(target)) {
      log.info({ target: target.id }, "target is not leaving by its health check");
      onTargetsChanged();
    }
  }

  /** Path of a target's health endpoint, its own or that of its service; undefined if it has none. */
  #healthPathOf({ healthPath, service }: TargetInfo): string | undefined {
    const { services } = this.#deps.document() ?? {};
    const ofService = services?.find((s) => s.name === service)?.healthPath;
    return healthPath === "" ? ofService : healthPath;
  }
}
