import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Evidence } from "./Evidence.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** Where a routing policy gets its peers' evidence, and sends its own. */
export interface EvidenceSource {
  /** Sets what this sidecar itself has seen. */
  publish(own: Map<TargetId, Evidence>): void;
  /** Tells the peers concerned with a service about its suspicious targets; `hosts` are beside its targets. */
  share(service: string, targets: readonly TargetInfo[], hosts: ReadonlySet<string>): unknown;
  /** What peers have lately said of a target. */
  about(target: TargetId): Evidence[];
  /** How many sidecars are concerned with a service, this one included. */
  groupSize(service: string, hosts: ReadonlySet<string>): number;
}
