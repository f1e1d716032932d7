import { request } from "node:http";

/** Calls the system's own interface; resolves with status 0 if there was no response within a second. */
export function callJson(
  host: string,
  method: string,
  path: string,
  body?: object,
): Promise<{ status: number; location?: string }> {
  const [ip, port] = host.split(":");
  return new Promise((resolve) => {
    const bytes = Buffer.from(body ? JSON.stringify(body) : "");
    const headers = { "content-type": "application/json", "content-length": bytes.length };
    const req = request({ host: ip, port, method, path, headers, timeout: 1000, agent: false });
    req.once("response", (res) => {
      res.resume();
      res.once("end", () => {
        resolve({ status: res.statusCode ?? 0, location: res.headers.location });
      });
    });
    req.once("timeout", () => {
      req.destroy();
    });
    req.on("error", () => {
      resolve({ status: 0 });
    });
    req.end(bytes);
  });
}
