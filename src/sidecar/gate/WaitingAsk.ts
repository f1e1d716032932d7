import type { Ask } from "../hop/Ask.ts";

/** An ask that waits for a slot. */
export interface WaitingAsk {
  readonly ask: Ask;
  /** When it came, by the gate's clock, ms. */
  readonly askedAt: number;
}
