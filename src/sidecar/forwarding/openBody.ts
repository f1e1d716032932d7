import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { readBody } from "../../common/http/readBody.ts";

/** A request body: none, buffered so that it can be sent again, streamed, or larger than allowed. */
type OpenedBody =
  | { readonly kind: "none"; readonly body: undefined }
  | { readonly kind: "whole"; readonly body: Buffer }
  | {
      readonly kind: "stream";
      readonly body: Readable;
      /** Length declared by the sender, bytes; undefined for a chunked body. */
      readonly length: number | undefined;
    }
  | { readonly kind: "too-large" };

/** Limits on the size of a body, bytes. */
interface BodyBounds {
  /** Maximum size; larger bodies are rejected. */
  readonly maxBytes: number;
  /** Bodies up to this size are buffered before they are forwarded; larger ones are streamed. */
  readonly maxBufferedBytes: number;
}

/**
 * Opens a request's body. A small one is buffered, whether its length is declared or it is chunked, so that it can be
 * sent again after a target refused the request. Any other is streamed, with backpressure from its reader. Rejects if a
 * small body is truncated.
 */
export async function openBody(
  req: IncomingMessage,
  { maxBytes, maxBufferedBytes }: BodyBounds,
): Promise<OpenedBody> {
  const declared = req.headers["content-length"];
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (declared === undefined || declared === "0")) {
    return { kind: "none", body: undefined };
  }
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > maxBytes) {
    return { kind: "too-large" };
  }
  if (length === undefined) {
    return openChunked(req, { maxBytes, maxBufferedBytes });
  }
  if (length <= maxBufferedBytes) {
    const body = await readBody(req, maxBufferedBytes);
    return body ? { kind: "whole", body } : { kind: "too-large" };
  }
  return { kind: "stream", body: detachBody(req, maxBytes), length };
}

/** Buffers a body of unknown length up to `maxBufferedBytes`; if it is larger, returns a stream of all of it. */
async function openChunked(
  req: IncomingMessage,
  { maxBytes, maxBufferedBytes }: BodyBounds,
): Promise<OpenedBody> {
  const body = detachBody(req, maxBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBufferedBytes) {
        body.unshift(Buffer.concat(chunks));
        return { kind: "stream", body, length: undefined };
      }
    }
  } catch (err) {
    if (err instanceof TooLargeError) {
      return { kind: "too-large" };
    }
    throw err;
  }
  return { kind: "whole", body: Buffer.concat(chunks) };
}

/** Error of a body stream that turns out to be larger than allowed. */
class TooLargeError extends Error {}

/**
 * Returns a stream of `req`'s body that can be destroyed without closing its connection: a target may respond before it
 * has read the complete body, and the response must still be sent on that connection. The stream fails if the sender
 * aborts the request or sends more than `maxBytes`.
 */
function detachBody(req: IncomingMessage, maxBytes: number): Readable {
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
  // A body that is not read to its end is not an error of this process, so must not cause an uncaught exception.
  body.on("error", () => undefined);
  return body;
}
