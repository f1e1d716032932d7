import { apiKeyDigest } from "./apiKeyDigest.ts";
import type { DocumentUpdate } from "./DocumentUpdate.ts";
import type { Workspace } from "./Workspace.ts";

/** Published updates by the update they were made from, as every watcher is sent the same ones. */
const published = new WeakMap<DocumentUpdate, DocumentUpdate>();

/**
 * The form of an update that is sent to sidecars: API keys are replaced by their digests. Only control replicas hold
 * the keys themselves, since operators read the document back as they sent it.
 */
export function publishDocument(update: DocumentUpdate): DocumentUpdate {
  const known = published.get(update);
  if (known) {
    return known;
  }
  const made = withoutKeys(update);
  published.set(update, made);
  return made;
}

function withoutKeys(update: DocumentUpdate): DocumentUpdate {
  if (update.kind === "whole") {
    const { workspaces } = update.document;
    return workspaces
      ? {
          ...update,
          document: { ...update.document, workspaces: workspaces.map(publishWorkspace) },
        }
      : update;
  }
  const { workspaces } = update.edit;
  return workspaces
    ? {
        ...update,
        edit: {
          ...update.edit,
          workspaces: { ...workspaces, set: workspaces.set.map(publishWorkspace) },
        },
      }
    : update;
}

function publishWorkspace({ name, apiKeys, quota, priority, weight }: Workspace): Workspace {
  return {
    name,
    apiKeys: apiKeys.map(apiKeyDigest),
    ...(quota && { quota }),
    ...(priority !== undefined && { priority }),
    ...(weight !== undefined && { weight }),
  };
}
