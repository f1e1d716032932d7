import { createServer } from "node:net";
import test from "ava";
import { freePort } from "../scripts/freePort.ts";

// Story: two test files run side by side in processes whose pids differ by a
// multiple of the number of port slices. Both took the same slice, handed out
// the same ports, and the fleet that started later failed with EADDRINUSE.
test("a slice of ports that another process has claimed is left to it", async (t) => {
  const first = 10_000 + (process.pid % 55) * 400;
  const other = createServer();
  await new Promise<void>((resolve, reject) => {
    other.once("error", (err: NodeJS.ErrnoException) => {
      // Another test file's process has claimed it already: the story's premise, too.
      if (err.code === "EADDRINUSE") {
        resolve();
      } else {
        reject(err);
      }
    });
    other.listen(first, "127.0.0.1", resolve);
  });
  const ports = [await freePort(), await freePort()];
  other.close();
  t.true(ports.every((port) => port < first || port >= first + 400));
  t.not(ports[0], ports[1]);
});
