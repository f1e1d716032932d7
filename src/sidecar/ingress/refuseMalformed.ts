import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

/** Statuses by what Node's HTTP parser or its timeouts found; any other fault is a bad request. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

const BAD_REQUEST = 400;

/** Answers bytes that are no request, or a head that did not come in time, and ends the connection. */
export function refuseMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const status = STATUSES[err.code ?? ""] ?? BAD_REQUEST;
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}
