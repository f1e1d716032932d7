import { createServer } from "node:net";
import test from "ava";
import { freePort } from "../scripts/freePort.ts";

// Two test files run concurrently in processes whose pids differ by a multiple of the number of port ranges. Both took
// the same range and allocated the same ports, and the fleet that started later failed with EADDRINUSE.
test("freePort allocates no ports from a range that another process has claimed", async (t) => {
  const firstPort = 10_000 + (process.pid % 55) * 400;
  const claim = createServer();
  await new Promise<void>((resolve, reject) => {
    claim.once("error", (err: NodeJS.ErrnoException) => {
      // The process of another test file has claimed the range already, which is the situation under test as well.
      if (err.code === "EADDRINUSE") {
        resolve();
      } else {
        reject(err);
      }
    });
    claim.listen(firstPort, "127.0.0.1", resolve);
  });
  const ports = [await freePort(), await freePort()];
  claim.close();
  t.true(ports.every((port) => port < firstPort || port >= firstPort + 400));
  t.not(ports[0], ports[1]);
});
