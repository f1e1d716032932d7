import { createServer, type Server } from "node:net";

/** Below the kernel's range of ephemeral ports: an outgoing connection could take a port between its choice and its use. */
const FIRST_PORT = 10_000;

/** Each process that starts fleets has its own slice of ports, as test files run in parallel processes. */
const SLICE_PORTS = 400;
const SLICES = 55;

/** Listens on the first port of this process's slice until the process exits, to mark the slice as taken. */
let sliceGuard: Server | undefined;
let firstPort: Promise<number> | undefined;
let portsHandedOut = 0;

/**
 * Returns a port that is free on loopback now, and that this process has not handed out before (the ports of its slice
 * are handed out in turn). A slice is claimed by listening on its first port: otherwise, two processes whose pids differ
 * by a multiple of the number of slices would hand out the same ports, and the fleet that starts later would fail with
 * EADDRINUSE.
 */
export async function freePort(): Promise<number> {
  firstPort ??= claimSlice();
  const first = await firstPort;
  for (;;) {
    // The port of the guard is never handed out.
    const port = first + 1 + (portsHandedOut++ % (SLICE_PORTS - 1));
    const probe = await listen(port);
    if (probe) {
      await close(probe);
      return port;
    }
  }
}

async function claimSlice(): Promise<number> {
  for (let n = 0; n < SLICES; n++) {
    const first = FIRST_PORT + ((process.pid + n) % SLICES) * SLICE_PORTS;
    sliceGuard = await listen(first);
    if (sliceGuard) {
      sliceGuard.unref();
      return first;
    }
  }
  throw new Error("every slice of test ports is taken");
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const srv = createServer();
    srv.once("error", () => {
      resolve(undefined);
    });
    srv.listen({ port, host: "127.0.0.1", exclusive: true }, () => {
      resolve(srv);
    });
  });
}

function close(srv: Server): Promise<void> {
  return new Promise((resolve) => {
    srv.close(() => {
      resolve();
    });
  });
}
