/** What a retry or hedge takes from one service's retry budget: the request itself, or the nested calls of its run. */
export interface RetryCost {
  readonly service: string;
  /** Number of extra requests to the service; fractional where it is a mean number of nested calls. */
  readonly n: number;
}
