import { apiKeyDigest } from "../../common/document/apiKeyDigest.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Workspace } from "../../common/document/Workspace.ts";

/**
 * Finds the workspace of an API key. Keys are looked up by their digests, so that the time of a lookup tells nothing
 * about the keys in the document.
 */
export class WorkspaceIndex {
  readonly #byDigest = new Map<string, Workspace>();

  constructor(workspaces: NonNullable<OperatorDocument["workspaces"]>) {
    for (const workspace of workspaces) {
      for (const key of workspace.apiKeys) {
        this.#byDigest.set(apiKeyDigest(key), workspace);
      }
    }
  }

  /** The workspace that holds `key`. A digest is not a key, even one from the document. */
  find(key: string): Workspace | undefined {
    const digest = apiKeyDigest(key);
    return digest === key ? undefined : this.#byDigest.get(digest);
  }
}
