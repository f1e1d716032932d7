import { createHash } from "node:crypto";

const PREFIX = "sha256:";

/** A digest in the document: the prefix and 256 bits in unpadded base64url. */
const DIGEST = /^sha256:[A-Za-z0-9_-]{43}$/;

/**
 * The digest of an API key, as sidecars hold it. Documents may contain a key itself or its digest; a digest is returned
 * unchanged.
 */
export function apiKeyDigest(key: string): string {
  return DIGEST.test(key) ? key : PREFIX + createHash("sha256").update(key).digest("base64url");
}
