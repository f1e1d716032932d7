import type { Tracing } from "./Tracing.ts";
import { noTracing } from "./noTracing.ts";

/**
 * Creates a {@link Tracing} that writes spans to `file` as JSON lines, or records
 * nothing if `file` is undefined. The tracing library is loaded only when it is used:
 * loading it takes about 40 ms of processor time at each start.
 */
export async function openTracing(name: string, file: string | undefined): Promise<Tracing> {
  if (!file) {
    return noTracing;
  }
  const { FileTracing } = await import("./FileTracing.ts");
  return new FileTracing(name, file);
}
