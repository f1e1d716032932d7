import bunyan from "bunyan";
import { SystemClock } from "../lifecycle/SystemClock.ts";
import { LogStream } from "./LogStream.ts";
import { openStdout } from "./openStdout.ts";

/**
 * Creates the process's bunyan logger. It writes JSON lines to stdout, rate-limited and
 * without blocking (see {@link LogStream}); BURDOCKPASS_LOG sets the level (default: info).
 */
export function createLogger(name: string, fields: Record<string, string> = {}): bunyan {
  const level = (process.env.BURDOCKPASS_LOG ?? "info") as bunyan.LogLevel;
  const stream = new LogStream(openStdout(), SystemClock);
  process.on("exit", () => {
    stream.flush();
  });
  return bunyan.createLogger({
    name,
    serializers: bunyan.stdSerializers,
    streams: [{ type: "raw", level, stream: stream as unknown as NodeJS.WritableStream }],
    ...fields,
  });
}
