import { createHash } from "node:crypto";
import { isIP } from "node:net";
import type { Readable } from "node:stream";
import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";

/** Length of a fingerprint, bytes: two of a billion different requests collide with a probability of 10^-21. */
const FINGERPRINT_BYTES = 16;

/** Headers that are part of what a request asks for; others, such as ids, deadlines and traces, differ between attempts. */
const IDENTIFYING_HEADERS = new Set([
  "host",
  "authorization",
  "cookie",
  "content-type",
  "content-encoding",
  "accept",
  "range",
]);

/** The parts of a request that a fingerprint covers. */
interface FingerprintedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  /** The workspace that it belongs to, whose key has been removed from the headers. */
  readonly workspace?: WorkspaceName;
}

/**
 * Fingerprint of a request to `service`: a truncated SHA-256 of its method, path with query, identifying headers and body.
 * Undefined for a streamed body, which is known only once it has been sent.
 */
export function fingerprintOf(
  service: string,
  { method, path, headers, body, workspace }: FingerprintedRequest,
): RequestFingerprint | undefined {
  if (body !== undefined && !Buffer.isBuffer(body)) {
    return undefined;
  }
  const hash = createHash("sha256");
  const parts = [service, method, path, identifyingHeaders(headers)];
  hash.update(JSON.stringify(workspace === undefined ? parts : [...parts, workspace]));
  hash.update(body ?? "");
  return RequestFingerprint(hash.digest("hex").slice(0, 2 * FINGERPRINT_BYTES));
}

/** Whether a `Host` header holds an IP address: that of the sidecar, which differs between equal requests. */
function isAddress(host: string): boolean {
  const [, bracketed, plain = ""] = /^(?:\[(.*)\]|([^:]*))(?::\d+)?$/.exec(host) ?? [];
  return isIP(bracketed ?? plain) !== 0;
}

function identifyingHeaders(headers: HeaderList): [name: string, value: string][] {
  const found: [string, string][] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] ?? "").toLowerCase();
    const value = headers[i + 1] ?? "";
    if (IDENTIFYING_HEADERS.has(name) && !(name === "host" && isAddress(value))) {
      found.push([name, value]);
    }
  }
  return found.sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0));
}
