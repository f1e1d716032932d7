import type bunyan from "bunyan";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";

interface EndedTargetsDeps {
  /** Whether a process listens at a target's URL. */
  readonly isListening: (url: string) => Promise<boolean>;
  /** Called when the process of a local target has ended. */
  readonly onEnded: (target: TargetInfo) => void;
  readonly log: bunyan;
}

/**
 * Finds out whether the process of a local target has ended, when a run got no response. A refused connection is the
 * surest sign of it. Without this, the target would stay in use until its announcements are overdue, with all slots free,
 * as it fails every request at once.
 */
export class EndedTargets {
  readonly #deps: EndedTargetsDeps;
  /** Checks in progress: the runs of a target are lost together. */
  readonly #checks = new Map<TargetId, Promise<boolean>>();

  constructor(deps: EndedTargetsDeps) {
    this.#deps = deps;
  }

  /** Checks a target to which a connection was lost; resolves with whether its process has ended. */
  check(target: TargetInfo): Promise<boolean> {
    let check = this.#checks.get(target.id);
    if (!check) {
      check = this.#check(target).finally(() => this.#checks.delete(target.id));
      this.#checks.set(target.id, check);
    }
    return check;
  }

  async #check(target: TargetInfo): Promise<boolean> {
    const { isListening, onEnded, log } = this.#deps;
    if (await isListening(target.url)) {
      return false;
    }
    log.info({ target: target.id, service: target.service }, "target ended");
    onEnded(target);
    return true;
  }
}
