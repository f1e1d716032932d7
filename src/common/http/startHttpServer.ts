import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { IDisposable } from "../lifecycle/IDisposable.ts";
import { acceptPending } from "./acceptPending.ts";
import { OpenConnections } from "./OpenConnections.ts";

/**
 * A listening HTTP server. Disposing it stops accepting connections, and waits for open requests and until their
 * connections have been closed in stages: see `lingerAndClose`.
 */
interface StartedHttpServer extends IDisposable {
  readonly port: number;
}

/** Interval at which a server that is shutting down closes idle connections, ms. */
const IDLE_SWEEP_MS = 100;

/** Starts listening on `hostPort` (port 0 picks a free port). */
export async function startHttpServer(
  server: Server,
  hostPort: string,
): Promise<StartedHttpServer> {
  const [host, port] = splitHostPort(hostPort);
  const connections = new OpenConnections(server);
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
        // close() waits for every open socket and closes idle ones only once. A
        // socket that is busy at that time becomes an idle keep-alive connection
        // after its response; a planned stop waited 28 s for callers' keep-alive
        // timeouts because of this. So idle sockets are closed repeatedly until
        // close() completes.
        const sweeper = setInterval(() => {
          connections.closeIdle();
        }, IDLE_SWEEP_MS);
        acceptPending(server, () => {
          server.close(() => {
            clearInterval(sweeper);
            resolve();
          });
        });
      }),
  };
}

function splitHostPort(hostPort: string): [string, number] {
  const at = hostPort.lastIndexOf(":");
  return [hostPort.slice(0, at), Number(hostPort.slice(at + 1))];
}
