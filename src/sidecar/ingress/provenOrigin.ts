import { RequestOrigin } from "../routing/RequestOrigin.ts";
import type { Admission } from "../workspaces/Admission.ts";

type Admitted = Extract<Admission, { kind: "admitted" }>;

/** Origin of an admitted request as far as its API key, or the lack of one, proves it; undefined if it does not. */
export function provenOrigin({
  workspace,
  hasWorkspaces,
  route,
}: Pick<Admitted, "workspace" | "hasWorkspaces" | "route">): RequestOrigin | undefined {
  if (workspace !== undefined) {
    return RequestOrigin.Keyed;
  }
  return hasWorkspaces && !route.isPublic ? RequestOrigin.TargetWithoutKey : undefined;
}
