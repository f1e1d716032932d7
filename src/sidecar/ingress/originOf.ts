import { isIP } from "node:net";
import { RequestOrigin } from "../routing/RequestOrigin.ts";

/** Prefix of an IPv4-mapped IPv6 address: Node's form of an IPv4 address on a dual-stack socket. */
const IPV4_MAPPED_PREFIX = "::ffff:";

const LOOPBACK = /^(127\.|::1$)/;

/**
 * Returns the origin of a request. Loopback addresses are no evidence, since callers and targets may share them.
 *
 * @param address remote address of the request's connection; undefined once the connection is closed
 * @param targetUrls base URLs of the local targets
 */
export function originOf(
  address: string | undefined,
  targetUrls: readonly string[],
): RequestOrigin {
  const remote = canonicalAddress(address ?? "");
  if (isIP(remote) === 0 || LOOPBACK.test(remote) || targetUrls.length === 0) {
    return RequestOrigin.Unknown;
  }
  const isTarget = targetUrls.some((url) => canonicalAddress(new URL(url).hostname) === remote);
  return isTarget ? RequestOrigin.TargetVm : RequestOrigin.Elsewhere;
}

/** Removes the brackets of an IPv6 host and the prefix of an IPv4-mapped address. */
function canonicalAddress(address: string): string {
  const unbracketed = address.replace(/^\[|\]$/g, "");
  return unbracketed.startsWith(IPV4_MAPPED_PREFIX)
    ? unbracketed.slice(IPV4_MAPPED_PREFIX.length)
    : unbracketed;
}
