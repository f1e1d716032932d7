import type { ReplicaId } from "../../common/ids/ReplicaId.ts";

/** A replica as a member of the control group. */
export interface Voter {
  readonly id: ReplicaId;
  /** Where other replicas reach it, host:port. */
  readonly address: string;
  /** Its availability zone; empty while nobody has told. */
  readonly zone: string;
}
