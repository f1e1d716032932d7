import { isIP } from "node:net";
import { RequestOrigin } from "../routing/RequestOrigin.ts";

/** How Node writes an IPv4 address on a socket that also takes IPv6. */
const MAPPED_PREFIX = "::ffff:";

const LOOPBACK = /^(127\.|::1$)/;

/**
 * Where a request comes from.
 *
 * @param address of the other end of its connection; undefined once that is closed
 * @param targetUrls base URLs of the targets beside this sidecar
 */
export function originOf(
  address: string | undefined,
  targetUrls: readonly string[],
): RequestOrigin {
  const from = plain(address ?? "");
  if (isIP(from) === 0 || LOOPBACK.test(from) || targetUrls.length === 0) {
    return RequestOrigin.Unknown;
  }
  const isTarget = targetUrls.some((url) => plain(new URL(url).hostname) === from);
  return isTarget ? RequestOrigin.TargetVm : RequestOrigin.Elsewhere;
}

function plain(address: string): string {
  const bare = address.replace(/^\[|\]$/g, "");
  return bare.startsWith(MAPPED_PREFIX) ? bare.slice(MAPPED_PREFIX.length) : bare;
}
