/** Where a request that reaches this sidecar comes from, as far as the address of its connection tells. */
export enum RequestOrigin {
  /** The address of a target beside this sidecar: likely a call that it makes in the midst of its work. */
  TargetVm = "target-vm",
  /** Another address. */
  Elsewhere = "elsewhere",
  /** A loopback address, which callers and targets may share, or no target is here. */
  Unknown = "unknown",
}
