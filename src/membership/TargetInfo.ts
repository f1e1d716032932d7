import type { ServiceName } from "../common/ids/ServiceName.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { ZoneName } from "../common/ids/ZoneName.ts";
import type { TargetState } from "./TargetState.ts";

/** One target as this sidecar knows it, from its own announcement or from gossip. */
export interface TargetInfo {
  readonly id: TargetId;
  readonly service: ServiceName;
  /** Base URL of the target's HTTP, such as `http://127.0.0.1:9001`. */
  readonly url: string;
  /** Requests it can work on at once. */
  readonly slots: number;
  readonly state: TargetState;
  readonly zone: ZoneName;
  /** Where requests for it are sent: the sidecar beside it, host:port. */
  readonly hopAddress: string;
  /** Where the gate to it is asked for slots, by datagrams, host:port. */
  readonly askAddress: string;
  /** Path of its health endpoint; empty for none. */
  readonly healthPath: string;
  /**
   * Start of this life, Unix ms by its VM's clock; 0 where it does not tell. A target
   * that starts again under its id knows nothing of what the life before it was given.
   */
  readonly born: number;
}
