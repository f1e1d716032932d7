import { fromPromise, periodic } from "most";
import type { IDisposable } from "./IDisposable.ts";
import { toDisposable } from "./toDisposable.ts";

/** Calls `callback` every `ms` milliseconds until disposed. */
export function every(ms: number, callback: () => void): IDisposable {
  let stop: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => (stop = resolve));
  void periodic(ms).until(fromPromise(stopped)).observe(callback);
  return toDisposable(stop);
}
