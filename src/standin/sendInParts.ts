import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Interval between the parts, ms. */
const PART_INTERVAL_MS = 50;

/** Sends `body` in equal parts over `sendMs`, at once if that is 0; stops when the connection is closed. */
export async function sendInParts(
  res: ServerResponse,
  body: string,
  sendMs: number,
): Promise<void> {
  const partCount = Math.max(1, Math.ceil(sendMs / PART_INTERVAL_MS));
  const partLength = Math.ceil(body.length / partCount);
  for (let n = 0; n < partCount - 1 && !res.destroyed; n++) {
    res.write(body.slice(n * partLength, (n + 1) * partLength));
    await sleep(PART_INTERVAL_MS);
  }
  res.end(body.slice((partCount - 1) * partLength));
}
