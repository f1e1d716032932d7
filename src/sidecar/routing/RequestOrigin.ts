/** Origin of a request received by this sidecar, derived from its API key and the source address of its connection. */
export enum RequestOrigin {
  /** The address of a local target: likely a nested call that the target makes during a run. */
  TargetVm = "target-vm",
  /** Another address. */
  Elsewhere = "elsewhere",
  /** A loopback address, which callers and targets may share, or this sidecar has no local target. */
  Unknown = "unknown",
  /** It carries an API key of a workspace, which targets do not have: a caller's request. */
  Keyed = "keyed",
  /** It comes from the target and carries no key where callers need one: a nested call. */
  TargetWithoutKey = "target-without-key",
}
