/** How slot time is shared among workspaces, while fair sharing is on for a service. */
export interface FairShareRule {
  /** Weight of a workspace, a positive number; the name is empty for requests that name none. */
  weightOf(workspace: string): number;
}
