import type { Workspace } from "../../common/document/Workspace.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { DocumentConfirmer } from "../config/DocumentConfirmer.ts";
import type { DocumentFreshness } from "../config/DocumentFreshness.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { RouteIndex } from "../routing/RouteIndex.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";
import type { Admission } from "./Admission.ts";
import type { CreditClient } from "./CreditClient.ts";
import { decideAccess, type Access } from "./decideAccess.ts";
import { readBearerToken } from "./readBearerToken.ts";
import type { WorkspaceIndex } from "./WorkspaceIndex.ts";

/** The parts of the document in force that admission depends on. */
interface AdmissionConfig {
  readonly routes: RouteIndex;
  /** Undefined if the document has no workspaces. */
  readonly workspaces: WorkspaceIndex | undefined;
}

/** Ages of the document up to which it is acted on, ms. */
export interface DocumentAgeLimits {
  /** For admitting a request by its API key, which may have been taken away since. */
  readonly admitMs: number;
  /** For telling a caller that its key or route does not exist, which may have been added since. */
  readonly refuseMs: number;
}

interface RequestAdmissionDeps {
  /** The current configuration; undefined before the first document. */
  readonly config: () => AdmissionConfig | undefined;
  /** Returns the next sample for a route's traffic split, in [0, 1). */
  readonly draw: (route: string) => number;
  readonly freshness: Pick<DocumentFreshness, "ageMs">;
  readonly confirmer: Pick<DocumentConfirmer, "ensure">;
  readonly credits: Pick<CreditClient, "take">;
  readonly limits: () => DocumentAgeLimits;
}

/** The parts of a caller's request that admission depends on. */
interface AdmittedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string | undefined;
  readonly rawHeaders: HeaderList;
  /** It comes from the address of this VM's target. */
  readonly isFromTarget: boolean;
}

/** A decision by the document alone. */
interface Decision {
  readonly access: Access;
  readonly route: RouteMatch | undefined;
  readonly hasWorkspaces: boolean;
}

/**
 * Decides whether a caller's request is forwarded: by its route and API key, the age of the document that tells them,
 * and the quota of its workspace. A document that may be outdated neither admits a request by its key nor denies that
 * its key or route exists: it is confirmed first, and if that is not possible, the request is refused as not run.
 */
export class RequestAdmission {
  readonly #deps: RequestAdmissionDeps;

  constructor(deps: RequestAdmissionDeps) {
    this.#deps = deps;
  }

  async admit(req: AdmittedRequest): Promise<Admission> {
    let decision = this.#decide(req);
    if (this.#isOutdated(decision)) {
      await this.#deps.confirmer.ensure(this.#maxAgeMs(decision));
      decision = this.#decide(req);
    }
    if (this.#isOutdated(decision)) {
      return this.#refuse(503, "the configuration may be outdated", decision.route);
    }
    const { access, route, hasWorkspaces } = decision;
    if (access.kind === "denied") {
      return this.#refuse(401, access.reason, route);
    }
    if (!route) {
      return this.#refuse(404, "no route", undefined);
    }
    if (access.kind === "open") {
      const release = () => undefined;
      return { kind: "admitted", route, workspace: undefined, hasWorkspaces, release };
    }
    return this.#takeCredit(access.workspace, route);
  }

  #decide({ method, path, host, rawHeaders, isFromTarget }: AdmittedRequest): Decision {
    const config = this.#deps.config();
    const route = config?.routes.match(method, path, host, this.#deps.draw);
    const workspaces = config?.workspaces;
    const token = readBearerToken(rawHeaders);
    const access = decideAccess(workspaces, route, { token, isFromTarget });
    return { access, route, hasWorkspaces: workspaces !== undefined };
  }

  #isOutdated(decision: Decision): boolean {
    return this.#deps.freshness.ageMs > this.#maxAgeMs(decision);
  }

  /** Age up to which the document may decide so, ms. */
  #maxAgeMs({ access, route }: Decision): number {
    const { admitMs, refuseMs } = this.#deps.limits();
    if (access.kind === "denied" || !route) {
      return refuseMs;
    }
    return access.kind === "workspace" ? admitMs : Infinity;
  }

  async #takeCredit({ name, quota, priority }: Workspace, route: RouteMatch): Promise<Admission> {
    const workspace = WorkspaceName(name);
    const admitted = {
      kind: "admitted",
      route: priority === undefined ? route : { ...route, priority },
      workspace,
      hasWorkspaces: true,
    } as const;
    if (!quota) {
      return { ...admitted, release: () => undefined };
    }
    const result = await this.#deps.credits.take(workspace);
    switch (result.kind) {
      case "granted":
        return {
          ...admitted,
          release: () => {
            result.credit.release();
          },
        };
      case "exhausted":
        return {
          ...this.#refuse(429, `quota of workspace ${name} used up`, route, result.retryAfterMs),
          workspace,
        };
      case "unreachable":
        return {
          ...this.#refuse(503, "quota cannot be checked", route, result.retryAfterMs),
          workspace,
        };
    }
  }

  #refuse(
    status: number,
    reason: string,
    route: RouteMatch | undefined,
    retryAfterMs = RETRY_AFTER_MS,
  ): Extract<Admission, { kind: "refused" }> {
    const { ageMs } = this.#deps.freshness;
    const documentAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    return { kind: "refused", status, reason, route, retryAfterMs, documentAgeMs };
  }
}
