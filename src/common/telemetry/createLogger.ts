import bunyan from "bunyan";

/** A bunyan logger writing JSON lines to stdout; level from BURDOCKPASS_LOG (default info). */
export function createLogger(name: string, fields: Record<string, string> = {}): bunyan {
  const level = (process.env.BURDOCKPASS_LOG ?? "info") as bunyan.LogLevel;
  return bunyan.createLogger({ name, level, ...fields });
}
