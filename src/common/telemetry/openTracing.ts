import type { Tracing } from "./Tracing.ts";
import { noTracing } from "./noTracing.ts";

/**
 * Traces to `file` as JSON lines; nothing when there is none. The tracing library is
 * loaded only when it is used: it would cost every start some 40 ms of processor time.
 */
export async function openTracing(name: string, file: string | undefined): Promise<Tracing> {
  if (!file) {
    return noTracing;
  }
  const { FileTracing } = await import("./FileTracing.ts");
  return new FileTracing(name, file);
}
