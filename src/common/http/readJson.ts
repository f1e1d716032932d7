import type { IncomingMessage } from "node:http";
import { readBody } from "./readBody.ts";

/** A parsed JSON body, or the reason why it could not be parsed. */
type JsonBody =
  | { readonly ok: true; readonly value: unknown }
  | { readonly ok: false; readonly reason: "too large" | "not JSON" };

/** Reads the body of a request as JSON, of at most `maxBytes`. Rejects when the body is truncated. */
export async function readJson(req: IncomingMessage, maxBytes: number): Promise<JsonBody> {
  const body = await readBody(req, maxBytes);
  if (!body) {
    return { ok: false, reason: "too large" };
  }
  try {
    return { ok: true, value: JSON.parse(body.toString("utf8")) as unknown };
  } catch {
    return { ok: false, reason: "not JSON" };
  }
}
