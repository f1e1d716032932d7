/**
 * A one-sided CUSUM over yes/no observations (Page, "Continuous Inspection
 * Schemes", 1954): the running log-likelihood ratio of "this target is gray"
 * against "it is healthy", never below zero. Two rare bad answers close
 * together raise it; the many good answers between isolated ones wear it off.
 */
export class CusumScore {
  readonly #up: number;
  readonly #down: number;
  #value = 0;

  /**
   * @param healthyRate share of bad observations a healthy target gives
   * @param grayRate share of bad observations worth detecting
   */
  constructor(healthyRate: number, grayRate: number) {
    this.#up = Math.log(grayRate / healthyRate);
    this.#down = Math.log((1 - grayRate) / (1 - healthyRate));
  }

  /** The evidence so far, in nats (natural-log units), zero or more. */
  get value(): number {
    return this.#value;
  }

  /** Adds one observation. */
  add(bad: boolean): void {
    this.#value = Math.max(0, this.#value + (bad ? this.#up : this.#down));
  }

  /** Forgets everything, as when a target gets a fresh chance. */
  reset(): void {
    this.#value = 0;
  }
}
