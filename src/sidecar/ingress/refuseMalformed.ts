import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

/** Response statuses by the error code of Node's HTTP parser or timeouts; all other errors get {@link BAD_REQUEST}. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

const BAD_REQUEST = 400;

/** Sends an error response to malformed HTTP or to a request head that came too late, and closes the connection. */
export function refuseMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_ERROR_CODE[err.code ?? ""] ?? BAD_REQUEST;
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}
