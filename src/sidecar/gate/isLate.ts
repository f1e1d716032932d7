import type { WaitingAsk } from "./WaitingAsk.ts";

/**
 * Whether an ask in line cannot meet its objective any more, even if it starts now.
 *
 * @param now the gate's clock, ms
 * @param serviceMs how long a request takes here, where its own usual time is not known
 */
export function isLate({ ask, askedAt }: WaitingAsk, now: number, serviceMs: number): boolean {
  const workMs = ask.typicalMs > 0 ? ask.typicalMs : serviceMs;
  return now + workMs > askedAt + ask.objectiveMs;
}
