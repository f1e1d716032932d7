import type { Platform } from "./Platform.ts";
import { callJson } from "./callJson.ts";
import { sleep } from "./sleep.ts";

const PATH = "/burdockpass/config";

/** Sends the first configuration until it is accepted. */
export async function putConfig(platform: Platform, config: object): Promise<void> {
  const until = performance.now() + 30_000;
  for (let n = 0; performance.now() < until; n++) {
    const { ip } = platform.core[n % platform.core.length] ?? { ip: "" };
    let host = `${ip}:${platform.ports.control}`;
    for (let redirects = 0; redirects < 3; redirects++) {
      const { status, location } = await callJson(host, "PUT", PATH, config);
      if (status === 200) {
        return;
      }
      if (status !== 307 || location === undefined) {
        break;
      }
      host = new URL(location).host;
    }
    await sleep(200);
  }
  throw new Error("the configuration was not accepted");
}
