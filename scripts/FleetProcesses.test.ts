import { spawn } from "node:child_process";
import test from "ava";
import { FleetProcesses } from "./FleetProcesses.ts";

test("fleet processes: killing a process that has already ended does not wait for its end forever", async (t) => {
  // Guards against tests that hang when a killed target is killed again before it has been restarted.
  const proc = spawn(process.execPath, ["-e", ""]);
  await new Promise((resolve) => proc.once("exit", resolve));
  await new FleetProcesses().kill({ name: "ended", proc, ports: {} });
  t.is(proc.exitCode, 0);
});
