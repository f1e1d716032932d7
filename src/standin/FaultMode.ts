/** How a stand-in target misbehaves; switched at run time through `POST /_standin/fault`. */
export enum FaultMode {
  None = "none",
  /** Every answer takes ten times as long. */
  Slow = "slow",
  /** A share of answers are wrong: status 200, but another request's answer. */
  Wrong = "wrong",
  /** Alternates between slow and healthy every flap period. */
  Flapping = "flapping",
  /** Accepts requests and never answers, as a connection forgotten by a middlebox. */
  Silent = "silent",
  /** A share of answers are errors (status 500). */
  Error = "error",
  /** Most requests are answered with an error at once. */
  Gray = "gray",
  /** Half of the requests are refused, unrun, though there is room. */
  Sheds = "sheds",
  /** Works well, but its health endpoint says it does not. */
  HealthBad = "health-bad",
  /** Runs requests from one sidecar (see `via`) and never answers them: a one-way partition. */
  OneWay = "one-way",
  /** Runs the request, then resets the connection instead of answering. */
  AnswerLost = "answer-lost",
  /** Sends half of a body, then resets the connection. */
  Truncate = "truncate",
  /** Connections opened before the fault never get an answer; new ones work. */
  SilentOld = "silent-old",
}
