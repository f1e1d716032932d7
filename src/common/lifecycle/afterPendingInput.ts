import type { Timer } from "./Timer.ts";

/** A turn of the event loop shorter than this had little input to process, ms. */
const QUIET_TURN_MS = 1;

/**
 * Maximum number of turns waited for: one reads at most 32 datagrams from a socket, and under a constant load none is
 * quiet.
 */
const MAX_TURNS = 16;

/**
 * Calls `callback` once the event loop has processed the input that the kernel had already received, unless cancelled
 * before: after a turn in which there was little to process, or {@link MAX_TURNS}.
 */
export function afterPendingInput(callback: () => void): Timer {
  let turns = 0;
  let startedAt = performance.now();
  const onTurn = () => {
    const now = performance.now();
    turns += 1;
    if (now - startedAt < QUIET_TURN_MS || turns === MAX_TURNS) {
      callback();
      return;
    }
    startedAt = now;
    immediate = setImmediate(onTurn);
  };
  // Immediates run directly after the phase that reads the sockets.
  let immediate = setImmediate(onTurn);
  return {
    cancel: () => {
      clearImmediate(immediate);
    },
  };
}
