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

/** Bounds on a body, bytes. */
interface BodyBounds {
  /** A larger one is refused. */
  readonly mostBytes: number;
  /** One up to this size is read whole before it is sent on; a larger one is passed on as it comes. */
  readonly wholeBytes: number;
}

/**
 * Opens a request's body. A small one is read whole, whether its sender says its length
 * or sends it in chunks, so that it can be sent again after a target refused it; any
 * other is passed on as it comes, with its reader's pace as the limit. Rejects when a
 * small one is cut off.
 */
export async function openBody(
  req: IncomingMessage,
  { mostBytes, wholeBytes }: BodyBounds,
): Promise<OpenedBody> {
  const declared = req.headers["content-length"];
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (declared === undefined || declared === "0")) {
    return { kind: "none", body: undefined };
  }
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > mostBytes) {
    return { kind: "too-large" };
  }
  if (length === undefined) {
    return openChunked(req, { mostBytes, wholeBytes });
  }
  if (length <= wholeBytes) {
    const body = await readBody(req, wholeBytes);
    return body ? { kind: "whole", body } : { kind: "too-large" };
  }
  return { kind: "stream", body: detached(req, mostBytes), length };
}

/** Reads the start of a body of untold length: whole if it ends there, or the stream that it is the start of. */
async function openChunked(
  req: IncomingMessage,
  { mostBytes, wholeBytes }: BodyBounds,
): Promise<OpenedBody> {
  const body = detached(req, mostBytes);
  const start: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      start.push(chunk);
      size += chunk.length;
      if (size > wholeBytes) {
        body.unshift(Buffer.concat(start));
        return { kind: "stream", body, length: undefined };
      }
    }
  } catch (err) {
    if (err instanceof TooLargeError) {
      return { kind: "too-large" };
    }
    throw err;
  }
  return { kind: "whole", body: Buffer.concat(start) };
}

/** A body of untold length turned out larger than allowed. */
class TooLargeError extends Error {}

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
      body.destroy(new TooLargeError("the body is larger than allowed"));
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
