/** The nested calls that a stand-in target makes through its sidecar during its runs. */
export interface NestedCallOptions {
  /** The sidecar's port for callers. */
  readonly port: number;
  readonly path: string;
  /** Share of its runs that make one; a run whose call fails is answered with an error. */
  readonly share: number;
}
