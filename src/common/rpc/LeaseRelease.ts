/** The end of a lease by its holder, which uses it no longer. */
export interface LeaseRelease {
  readonly workspace: string;
  readonly lease: number;
  /** Tokens left in the share's bucket. */
  readonly level: number;
}
