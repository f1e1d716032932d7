/**
 * What sidecars say to each other over HTTP/1.1, at the address that each one tells
 * the others. A request is passed on as it is, with these headers besides; a join has
 * a path of its own. Slots are asked for by datagrams.
 */
export const HOP = {
  /** `POST`, for the answer of a run that lost its connection; answered as the run itself is. */
  joinPath: "/burdockpass-hop/v1/join",

  /** The attempt that the request, or the answer asked for, belongs to. */
  attempt: "x-burdockpass-attempt",
  /** The id of the grant, which begins with the life (the boot) of the granting process. */
  grant: "x-burdockpass-boot",
  /** Time left for the answer, ms. */
  remaining: "x-burdockpass-hop-remaining-ms",
  /** The service beside which the request began. */
  caller: "x-burdockpass-caller-service",
  /** The request may run more than once. */
  idempotent: "x-burdockpass-idempotent",
  /** The header in which targets of the service echo the id they are sent. */
  echo: "x-burdockpass-echo-header",

  /** How the run ended: the kind of its verdict. */
  verdict: "x-burdockpass-hop-verdict",
  /** Why, where it did not end in an answer. */
  reason: "x-burdockpass-hop-reason",
  /** What the run says of the target; see AttemptOutcome. */
  outcome: "x-burdockpass-hop-outcome",
  /** Where it is not done: when to come back, ms. */
  retryAfter: "x-burdockpass-hop-retry-after-ms",
  /** A may-have-run whose time ran out. */
  timedOut: "x-burdockpass-hop-timed-out",
  /** The status that the caller should get, where 503 would mislead. */
  status: "x-burdockpass-hop-status",
  /** Calls that a run at that target makes, on average: `service=mean`, separated by commas. */
  calls: "x-burdockpass-hop-calls",
  /** The target that the slot is at, or that ran the request. */
  target: "x-burdockpass-hop-target",
} as const;
