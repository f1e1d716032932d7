/** The workspaces of a soak run. */
export const SOAK_WORKSPACES = {
  /** Service of their requests. */
  service: "ledger",
  /** Path prefix of their requests. */
  path: "/account/",
  /** API key of the monitor's probes: without one, a missing route cannot be told from a missing key. */
  monitorKey: "monitor-key",
  /** API key of the workspace that has a quota. */
  hotKey: "hot-key",
  hotQuota: { ratePerS: 4, burst: 60 },
  /** API key that only the document of change number `change` has. */
  rotatingKey: (change: number): string => `key-of-${change}`,
} as const;
