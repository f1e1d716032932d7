import type { ServiceName } from "../common/ids/ServiceName.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { TargetInfo } from "./TargetInfo.ts";

/** The targets of one service. */
interface ServiceTargets {
  readonly byMember: Map<string, readonly TargetInfo[]>;
  /** All of them; drawn up afresh after a change. */
  list: readonly TargetInfo[] | undefined;
}

/**
 * Every target that is known, by the member beside which it stands, by service and by id. A change of one member
 * touches the services of its own targets only, so that news of one of hundreds costs the next request nothing.
 */
export class TargetIndex {
  readonly #byMember = new Map<string, readonly TargetInfo[]>();
  readonly #byService = new Map<ServiceName, ServiceTargets>();
  readonly #byId = new Map<TargetId, TargetInfo>();

  /** Puts `targets` in the place of those that stood beside `member`. */
  set(member: string, targets: readonly TargetInfo[]): void {
    const before = this.#byMember.get(member) ?? [];
    this.#remove(member, before);
    if (targets.length === 0) {
      this.#byMember.delete(member);
      return;
    }
    this.#byMember.set(member, targets);
    for (const service of new Set(targets.map((t) => t.service))) {
      const entry = this.#service(service);
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

  /** Targets of a service; the same array until one of them changes. */
  of(service: ServiceName): readonly TargetInfo[] {
    const entry = this.#byService.get(service);
    if (!entry) {
      return [];
    }
    entry.list ??= [...entry.byMember.values()].flat();
    return entry.list;
  }

  /** Every target. */
  all(): readonly TargetInfo[] {
    return [...this.#byMember.values()].flat();
  }

  /** One target. */
  get(id: TargetId): TargetInfo | undefined {
    return this.#byId.get(id);
  }

  #remove(member: string, targets: readonly TargetInfo[]): void {
    for (const target of targets) {
      // Another member may have announced it since: its address has moved.
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

  #service(name: ServiceName): ServiceTargets {
    let entry = this.#byService.get(name);
    if (!entry) {
      entry = { byMember: new Map(), list: undefined };
      this.#byService.set(name, entry);
    }
    return entry;
  }
}
