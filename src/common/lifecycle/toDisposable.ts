import type { IDisposable } from "./IDisposable.ts";

/** Wraps a release function as an {@link IDisposable} that calls it at most once. */
export function toDisposable(release: () => Promise<void> | void): IDisposable {
  let done = false;
  return {
    dispose: async () => {
      if (done) {
        return;
      }
      done = true;
      await release();
    },
  };
}
