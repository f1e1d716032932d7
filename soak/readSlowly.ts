import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { SlowRead } from "./History.ts";

/** Time after which a reader that still gets nothing gives up, ms. */
const GIVE_UP_MS = 15_000;

/** Requests `path`, waits for `pauseMs` once the response has begun, and then reads it; always resolves. */
export async function readSlowly(
  port: number,
  path: string,
  pauseMs: number,
): Promise<Pick<SlowRead, "status" | "isWhole">> {
  let status = 0;
  try {
    const res = await open(port, path, pauseMs + GIVE_UP_MS);
    status = res.statusCode ?? 0;
    await sleep(pauseMs);
    res.resume();
    await once(res, "end");
    return { status, isWhole: res.complete };
  } catch {
    return { status, isWhole: false };
  }
}

function open(port: number, path: string, timeoutMs: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const signal = AbortSignal.timeout(timeoutMs);
    get({ host: "127.0.0.1", port, path, agent: false, signal }, resolve).on("error", reject);
  });
}
