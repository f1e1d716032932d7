import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../lifecycle/IDisposable.ts";

/** A running gRPC server. Disposing it shuts it down, forcibly after a grace period. */
interface StartedGrpcServer extends IDisposable {
  readonly server: grpc.Server;
  readonly port: number;
}

/** Time that a graceful shutdown may take before open calls are aborted, ms. */
const SHUTDOWN_GRACE_MS = 2000;

/**
 * Binds `server` to `hostPort` (port 0 picks a free port) without TLS, for loopback
 * and private networks only. Disposing it waits up to `graceMs` for open calls to end.
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
