import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { readBody } from "../../common/http/readBody.ts";

/** A request body: whole, so that it can be sent again; or as it comes; or none; or more than is allowed. */
type OpenedBody =
  | { readonly kind: "none"; readonly body: undefined }
  | { readonly kind: "whole"; readonly body: Buffer }
  | {
      readonly kind: "stream";
      readonly body: Readable;
      /** Its length, where its sender has said. */
      readonly length: number | undefined;
    }
  | { readonly kind: "too-large" };

/** Bodies up to this size are read whole before they are sent on, bytes. */
const WHOLE_BYTES = 256 * 1024;

/**
 * Opens a request's body. One whose sender says that it is small is read whole; any
 * other is passed on as it comes, with its reader's pace as the limit. Rejects when a
 * small one is cut off.
 */
export async function openBody(req: IncomingMessage, maxBytes: number): Promise<OpenedBody> {
  const declared = req.headers["content-length"];
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (declared === undefined || declared === "0")) {
    return { kind: "none", body: undefined };
  }
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > maxBytes) {
    return { kind: "too-large" };
  }
  if (length !== undefined && length <= WHOLE_BYTES) {
    const body = await readBody(req, WHOLE_BYTES);
    return body ? { kind: "whole", body } : { kind: "too-large" };
  }
  return { kind: "stream", body: detached(req, maxBytes), length };
}

/**
 * A stream of `req`'s body that can be destroyed without its connection: a target may
 * answer before it has read all, and that answer must still go back on it. It fails
 * when the sender breaks off, or sends more than `maxBytes`.
 */
function detached(req: IncomingMessage, maxBytes: number): Readable {
  const body = new PassThrough();
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) {
      body.destroy(new Error("the body is larger than allowed"));
    }
  });
  req.pipe(body);
  req.once("error", (err) => body.destroy(err));
  req.once("aborted", () => body.destroy(new Error("the sender broke off")));
  body.once("close", () => {
    req.unpipe(body);
    req.resume();
  });
  // A body that nobody reads to its end is no error of this process.
  body.on("error", () => undefined);
  return body;
}
