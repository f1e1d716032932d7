import type { ReplicaId } from "../../common/ids/ReplicaId.ts";

/** A replica as a member of the control group. */
export interface Voter {
  readonly id: ReplicaId;
  /** Address for other replicas, host:port. */
  readonly address: string;
  /** Availability zone; empty while unknown. */
  readonly zone: string;
}
