import type { Workspace } from "../../common/document/Workspace.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";
import type { BearerToken } from "./readBearerToken.ts";
import type { WorkspaceIndex } from "./WorkspaceIndex.ts";

/** Whether a request may be forwarded, and for which workspace. */
export type Access =
  /** For none: there are no workspaces, the route is public, or a target makes the request during a run. */
  | { readonly kind: "open" }
  | { readonly kind: "workspace"; readonly workspace: Workspace }
  | { readonly kind: "denied"; readonly reason: string };

/** The parts of a request that access depends on. */
interface AccessRequest {
  readonly token: BearerToken;
  /** It comes from the address of this VM's target, which no caller has. */
  readonly isFromTarget: boolean;
}

/**
 * Decides whether a request has access, by the document alone. A request without a key is a nested call if it comes
 * from the target's own address; a header could be sent by any caller.
 *
 * @param workspaces undefined if the document has none
 * @param route undefined if the request matches none
 */
export function decideAccess(
  workspaces: WorkspaceIndex | undefined,
  route: Pick<RouteMatch, "isPublic"> | undefined,
  { token, isFromTarget }: AccessRequest,
): Access {
  if (!workspaces) {
    return { kind: "open" };
  }
  const workspace = token.kind === "token" ? workspaces.find(token.token) : undefined;
  if (workspace) {
    return { kind: "workspace", workspace };
  }
  const isNestedCall = token.kind === "none" && isFromTarget;
  if (isNestedCall || route?.isPublic) {
    return { kind: "open" };
  }
  return { kind: "denied", reason: DENIAL_REASONS[token.kind] };
}

const DENIAL_REASONS = {
  none: "no API key",
  malformed: "malformed credentials",
  token: "unknown API key",
} as const;
