import type { ServiceName } from "../common/ids/ServiceName.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { ZoneName } from "../common/ids/ZoneName.ts";
import type { TargetState } from "./TargetState.ts";

/** One target, as known from its announcement to this sidecar or from gossip. */
export interface TargetInfo {
  readonly id: TargetId;
  readonly service: ServiceName;
  /** Base URL of the target's HTTP server, such as `http://127.0.0.1:9001`; may be empty for a target known from gossip. */
  readonly url: string;
  /** Number of requests that it can run at the same time. */
  readonly slots: number;
  readonly state: TargetState;
  readonly zone: ZoneName;
  /** Address to which requests for it are sent, host:port: the sidecar on its VM. */
  readonly hopAddress: string;
  /** Address of its gate, to which slot requests are sent as datagrams, host:port. */
  readonly askAddress: string;
  /** Path of its health endpoint; empty if it has none. */
  readonly healthPath: string;
  /**
   * Start time of this incarnation, Unix ms by its VM's clock; 0 if not announced. A target
   * that restarts under the same id knows nothing of the requests sent to its previous incarnation.
   */
  readonly born: number;
  /** Set to a new value when the target, after it has said that it is leaving, says that it is not; 0 before. */
  readonly resumed: number;
}
