import type { IncomingMessage } from "node:http";
import { readBody } from "./readBody.ts";

/** A body that is JSON, or why it is none. */
type JsonBody =
  | { readonly ok: true; readonly value: unknown }
  | { readonly ok: false; readonly reason: "too large" | "not JSON" };

/** Reads a request's body as JSON. Rejects when it is cut off. */
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
