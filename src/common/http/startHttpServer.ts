import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { IDisposable } from "../lifecycle/IDisposable.ts";
import { OpenConnections } from "./OpenConnections.ts";

/** A listening HTTP server; disposing it stops new connections and waits for open requests. */
interface StartedHttpServer extends IDisposable {
  readonly port: number;
}

/** How often a stopping server closes sockets that have gone idle, ms. */
const IDLE_SWEEP_MS = 100;

/** Listens on `hostPort` (port 0 picks one). */
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
        // close() waits for every open socket. A socket busy at close time turns
        // into an idle keep-alive one after its answer, and a single
        // closeIdleConnections() has already run by then: seen, a planned stop
        // waited 28 s for callers' keep-alive timeouts. So idle sockets are
        // closed again and again until close() completes.
        const sweeper = setInterval(() => {
          connections.closeIdle();
        }, IDLE_SWEEP_MS);
        // After the sockets were looked at: connections that wait to be accepted are, and
        // not reset.
        setImmediate(() => {
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
