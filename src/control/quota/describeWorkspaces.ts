import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { QuotaLeases } from "./QuotaLeases.ts";
import type { WorkspaceQuotas } from "./WorkspaceQuotas.ts";

/** A workspace as operators see it, without its keys. */
interface WorkspaceDescription {
  readonly name: string;
  /** Number of API keys. */
  readonly keys: number;
  readonly ratePerS: number | undefined;
  readonly burst: number | undefined;
  readonly priority: number | undefined;
  /** Requests of the last minute for which this replica granted or refused a credit. */
  readonly granted: number;
  readonly refused: number;
  /** Address of the sidecar that has a lease of this replica's share; undefined if none has. */
  readonly holder: string | undefined;
}

/** The workspaces of the document, with the usage of their quotas at this replica. */
export function describeWorkspaces(
  { workspaces = [] }: OperatorDocument,
  quotas: Pick<WorkspaceQuotas, "describe">,
  leases: Pick<QuotaLeases, "holderOf"> | undefined,
): WorkspaceDescription[] {
  const usage = new Map(quotas.describe().map((u) => [u.workspace, u]));
  return workspaces.map(({ name, apiKeys, quota, priority }) => ({
    name,
    keys: apiKeys.length,
    ratePerS: quota?.ratePerS,
    burst: quota?.burst,
    priority,
    granted: usage.get(name)?.granted ?? 0,
    refused: usage.get(name)?.refused ?? 0,
    holder: leases?.holderOf(name),
  }));
}
