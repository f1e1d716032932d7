import type { CallerRequest } from "./CallerRequest.ts";

/** Whether the body is streamed: it was not buffered, so it cannot be sent again. */
export function isStream(body: CallerRequest["body"]): boolean {
  return body !== undefined && !Buffer.isBuffer(body);
}
