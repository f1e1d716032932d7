/** A control replica whose documents a sidecar can follow. */
export interface ControlReplica {
  /** Its API address, host:port. */
  readonly address: string;
  /** Its availability zone; undefined while it is known from the settings only. */
  readonly zone: string | undefined;
}
