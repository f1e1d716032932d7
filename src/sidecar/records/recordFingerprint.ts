import { createHash } from "node:crypto";
import { MAX_BUFFERED_RUN_BYTES } from "../forwarding/MAX_BUFFERED_RUN_BYTES.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";

/**
 * Digest of a request, by which a different request under the same idempotency key is recognized. It has only the
 * length of a body that the target's sidecar streams, which cannot be read before it is sent.
 */
export function recordFingerprint(
  req: Pick<TargetRequest, "method" | "path" | "body" | "bodyLength">,
): string {
  const { body, bodyLength } = req;
  const digest = createHash("sha256").update(`${req.method}\n${req.path}\n`);
  if (body === undefined) {
    return digest.digest("base64");
  }
  if (Buffer.isBuffer(body) && body.length <= MAX_BUFFERED_RUN_BYTES) {
    return digest.update(body).digest("base64");
  }
  const length = Buffer.isBuffer(body) ? body.length : bodyLength;
  return digest.update(`stream of ${length ?? "any"} bytes`).digest("base64");
}
