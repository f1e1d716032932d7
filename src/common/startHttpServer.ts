import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { IDisposable } from "./IDisposable.ts";

/** A listening HTTP server; disposing it stops new connections and waits for open requests. */
export interface StartedHttpServer extends IDisposable {
  readonly port: number;
}

/** Listens on `hostPort` (port 0 picks one). */
export async function startHttpServer(
  server: Server,
  hostPort: string,
): Promise<StartedHttpServer> {
  const [host, port] = splitHostPort(hostPort);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return {
    port: (server.address() as AddressInfo).port,
    dispose: () =>
      new Promise<void>((resolve) => {
        // close() waits for in-flight requests; idle keep-alive sockets are closed so it can finish.
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      }),
  };
}

function splitHostPort(hostPort: string): [string, number] {
  const at = hostPort.lastIndexOf(":");
  return [hostPort.slice(0, at), Number(hostPort.slice(at + 1))];
}
