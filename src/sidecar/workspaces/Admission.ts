import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";

/** Whether a request is forwarded. */
export type Admission =
  | {
      readonly kind: "admitted";
      readonly route: RouteMatch;
      /** Undefined for a request that belongs to no workspace. */
      readonly workspace: WorkspaceName | undefined;
      /** Whether the document has workspaces, so that credentials must not be forwarded. */
      readonly hasWorkspaces: boolean;
      /** Returns the credit that was taken for the request; to be called if it has not run. */
      readonly release: () => void;
    }
  | {
      readonly kind: "refused";
      /** 401, 404, 429 or 503. */
      readonly status: number;
      readonly reason: string;
      readonly retryAfterMs: number;
      readonly route: RouteMatch | undefined;
      /** Time since the document that decided was known to be current, ms; undefined if it never was. */
      readonly documentAgeMs: number | undefined;
      /** The workspace whose quota decided. */
      readonly workspace?: WorkspaceName;
    };
