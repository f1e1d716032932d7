import { fromPromise, periodic } from "most";
import type { IDisposable } from "./IDisposable.ts";
import { toDisposable } from "./toDisposable.ts";

/** Calls `act` every `ms` from now on, until disposed. */
export function every(ms: number, act: () => void): IDisposable {
  let stop: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => (stop = resolve));
  void periodic(ms).until(fromPromise(stopped)).observe(act);
  return toDisposable(stop);
}
