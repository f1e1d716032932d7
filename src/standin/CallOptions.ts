/** The calls that a stand-in makes through its sidecar in the midst of its work. */
export interface CallOptions {
  /** The sidecar's port for callers. */
  readonly port: number;
  readonly path: string;
  /** Share of its runs that make one; a run whose call fails is answered with an error. */
  readonly share: number;
}
