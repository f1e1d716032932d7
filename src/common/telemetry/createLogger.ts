import bunyan from "bunyan";
import { SystemClock } from "../lifecycle/SystemClock.ts";
import { LogStream } from "./LogStream.ts";
import { openStdout } from "./openStdout.ts";

/**
 * The process's bunyan logger: JSON lines on stdout, bounded and never blocking (see
 * {@link LogStream}); level from BURDOCKPASS_LOG (default info).
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
