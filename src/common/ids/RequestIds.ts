import { randomInt } from "node:crypto";

/** Largest id; ids have 32 bits on the wire. */
const MAX_ID = 0xffff_ffff;

/**
 * Generates the ids that match replies to requests sent as datagrams. They begin at random: a receiver may still have requests
 * of the previous incarnation of a restarted process, with the same address.
 */
export class RequestIds {
  #next: number;

  /** @param first the first id, from 1 to 2^32 - 1 */
  constructor(first = randomInt(1, MAX_ID)) {
    this.#next = first;
  }

  next(): number {
    const id = this.#next;
    this.#next = (id % MAX_ID) + 1;
    return id;
  }
}
