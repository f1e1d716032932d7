import { createServer, type Server } from "node:net";

/** Below the kernel's range for outgoing connections, which could take a port between its choice and its use. */
const FIRST_PORT = 10_000;

/** Each process that starts fleets has a slice of ports of its own, as test files run side by side. */
const SLICE_PORTS = 400;
const SLICES = 55;

/** Kept open while this process lives: the first port of its slice, which marks the slice as taken. */
let guard: Server | undefined;
let claimed: Promise<number> | undefined;
let handedOut = 0;

/**
 * A port free on loopback now and not handed out before by this process. The
 * slice is claimed by listening on its first port: two processes whose pids
 * merely differ by a multiple of the number of slices would otherwise hand out
 * the same ports, and the later of two fleets fails with EADDRINUSE.
 */
export async function freePort(): Promise<number> {
  claimed ??= claimSlice();
  const first = await claimed;
  for (;;) {
    // The guard's own port is never handed out.
    const port = first + 1 + (handedOut++ % (SLICE_PORTS - 1));
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
    guard = await listen(first);
    if (guard) {
      guard.unref();
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
