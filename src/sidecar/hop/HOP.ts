/**
 * Paths and headers of the HTTP/1.1 hop between two sidecars, at the hop address that each sidecar announces to the
 * others. A request is forwarded unchanged except for these additional headers; reattaching uses a separate path. Slots
 * are requested by datagrams instead; see SlotClient.
 */
export const HOP = {
  /** `POST` reattaches to a run whose connection was lost; the response is the one that the run itself would get. */
  reattachPath: "/burdockpass-hop/v1/join",

  /** Id of the attempt that is forwarded or reattached to. */
  attempt: "x-burdockpass-attempt",
  /** Id of the grant, which starts with the incarnation of the granting process; hence the header's name. */
  grant: "x-burdockpass-boot",
  /** Time remaining for the response, ms. */
  remaining: "x-burdockpass-hop-remaining-ms",
  /** For a request with an idempotency key: id that the first sidecar has given to it. */
  dispatch: "x-burdockpass-hop-dispatch",
  /** For a request with an idempotency key: time since its arrival at the first sidecar, ms. */
  age: "x-burdockpass-hop-age-ms",
  /** Name of the service co-located with the sidecar at which the request originated. */
  caller: "x-burdockpass-caller-service",
  /** Name of the workspace that the request belongs to; absent if it belongs to none. */
  workspace: "x-burdockpass-hop-workspace",
  /** Set to `1` if the request is idempotent and may run more than once. */
  idempotent: "x-burdockpass-idempotent",
  /** Name of the header in which targets of the service echo the attempt id. */
  echo: "x-burdockpass-echo-header",

  /** Kind of the run's verdict. */
  verdict: "x-burdockpass-hop-verdict",
  /** Reason of the verdict, percent-encoded, if the run did not produce a response. */
  reason: "x-burdockpass-hop-reason",
  /** Outcome of the run as evidence about the target's health; see AttemptOutcome. */
  outcome: "x-burdockpass-hop-outcome",
  /** For a verdict other than `done`: time after which to retry, ms. */
  retryAfter: "x-burdockpass-hop-retry-after-ms",
  /** Set to `1` if the verdict is `may-have-run` because the deadline passed. */
  timedOut: "x-burdockpass-hop-timed-out",
  /** For the verdict `not-run`: status code to return to the caller where 503 would be misleading. */
  status: "x-burdockpass-hop-status",
  /** Mean number of nested calls per run at the target: `service=mean`, separated by commas. */
  calls: "x-burdockpass-hop-calls",
  /** Set to `1` if the target's process has ended during the run. */
  targetEnded: "x-burdockpass-hop-target-ended",
  /** Id of the target that granted the slot or ran the request. */
  target: "x-burdockpass-hop-target",
} as const;
