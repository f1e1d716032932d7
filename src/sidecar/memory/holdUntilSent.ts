import type { ServerResponse } from "node:http";
import type { MemoryAccount } from "./MemoryAccount.ts";
import type { MemoryHolder } from "./MemoryHolder.ts";

/** Counts a response's body for `holder` until the kernel has accepted all of it, or its connection has closed. */
export function holdUntilSent(
  memory: MemoryAccount,
  holder: MemoryHolder,
  res: ServerResponse,
  bytes: number,
): void {
  const hold = memory.hold(holder, bytes);
  res.once("close", () => {
    hold.release();
  });
}
