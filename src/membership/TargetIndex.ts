import type { ServiceName } from "../common/ids/ServiceName.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { TargetInfo } from "./TargetInfo.ts";

/** The targets of one service. */
interface ServiceTargets {
  readonly byMember: Map<string, readonly TargetInfo[]>;
  /** All of them; rebuilt on first use after a change. */
  list: readonly TargetInfo[] | undefined;
}

/**
 * Every known target, indexed by the member (sidecar) on its VM, by service and by id. A change of one member
 * invalidates only the services of its own targets, so that requests for other services cost no more after an
 * update of one of hundreds of members.
 */
export class TargetIndex {
  readonly #byMember = new Map<string, readonly TargetInfo[]>();
  readonly #byService = new Map<ServiceName, ServiceTargets>();
  readonly #byId = new Map<TargetId, TargetInfo>();

  /** Replaces the targets of `member`. */
  set(member: string, targets: readonly TargetInfo[]): void {
    const before = this.#byMember.get(member) ?? [];
    this.#remove(member, before);
    if (targets.length === 0) {
      this.#byMember.delete(member);
      return;
    }
    this.#byMember.set(member, targets);
    for (const service of new Set(targets.map((t) => t.service))) {
      const entry = this.#serviceEntry(service);
      entry.list = undefined;
      entry.byMember.set(
        member,
        targets.filter((t) => t.service === service),
      );
    }
    for (const target of targets) {
      this.#byId.set(target.id, target);
    }
  }

  /** All targets of a service; the same array until one of them changes. */
  of(service: ServiceName): readonly TargetInfo[] {
    const entry = this.#byService.get(service);
    if (!entry) {
      return [];
    }
    entry.list ??= [...entry.byMember.values()].flat();
    return entry.list;
  }

  /** All targets. */
  all(): readonly TargetInfo[] {
    return [...this.#byMember.values()].flat();
  }

  /** The target with this id. */
  get(id: TargetId): TargetInfo | undefined {
    return this.#byId.get(id);
  }

  #remove(member: string, targets: readonly TargetInfo[]): void {
    for (const target of targets) {
      // Another member may have announced it since, if the target has moved there.
      if (this.#byId.get(target.id) === target) {
        this.#byId.delete(target.id);
      }
      const entry = this.#byService.get(target.service);
      if (entry) {
        entry.list = undefined;
        entry.byMember.delete(member);
      }
    }
  }

  #serviceEntry(name: ServiceName): ServiceTargets {
    let entry = this.#byService.get(name);
    if (!entry) {
      entry = { byMember: new Map(), list: undefined };
      this.#byService.set(name, entry);
    }
    return entry;
  }
}
