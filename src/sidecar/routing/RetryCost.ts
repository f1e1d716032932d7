/** What a further send of a request takes from the retry budget of one service: itself, or the calls that its run will make. */
export interface RetryCost {
  readonly service: string;
  /** Extra requests there; part of one where that is told by a mean. */
  readonly n: number;
}
