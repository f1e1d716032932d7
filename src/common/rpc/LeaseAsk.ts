/** Request of a quota holder for a lease of a control voter's share of a workspace's quota, or for its renewal. */
export interface LeaseAsk {
  readonly workspace: string;
  /** Address at which the holder grants credits. */
  readonly holder: string;
  /** Random number of the holder's process: a restarted sidecar does not know what its predecessor granted. */
  readonly process: number;
  /** Id of the last lease that the holder has from this voter; 0 if none. */
  readonly lease: number;
  /** Whether that lease is in force by the holder's clock. */
  readonly isInForce: boolean;
  /** Whether that lease was last renewed by a voter that could not confirm its state. */
  readonly isUnconfirmed: boolean;
  /** Credits granted and refused by the holder since its last request to any voter. */
  readonly granted: number;
  readonly refused: number;
}
