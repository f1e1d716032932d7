/** What the evidence about one target says in all. */
export interface Judgement {
  /** Should leave rotation. */
  readonly gray: boolean;
  /** How bad, as its chance to fail a request; the floor keeps the least bad. */
  readonly badness: number;
}
