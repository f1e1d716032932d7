import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../lifecycle/IDisposable.ts";

/** A started gRPC server; disposing it shuts it down (forcibly after a grace period). */
interface StartedGrpcServer extends IDisposable {
  readonly server: grpc.Server;
  readonly port: number;
}

/** How long a graceful gRPC shutdown may take before open calls are cut, ms. */
const SHUTDOWN_GRACE_MS = 2000;

/**
 * Binds `server` on `hostPort` (port 0 picks one) without TLS: loopback and
 * private networks. Stopping it waits `graceMs` for open calls to end.
 */
export async function startGrpcServer(
  server: grpc.Server,
  hostPort: string,
  graceMs = SHUTDOWN_GRACE_MS,
): Promise<StartedGrpcServer> {
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(hostPort, grpc.ServerCredentials.createInsecure(), (err, bound) => {
      if (err) {
        reject(err);
      } else {
        resolve(bound);
      }
    });
  });
  return {
    server,
    port,
    dispose: () =>
      new Promise<void>((resolve) => {
        const timer = setTimeout(() => {
          server.forceShutdown();
          resolve();
        }, graceMs);
        server.tryShutdown(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}
