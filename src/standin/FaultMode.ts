/** The fault that a stand-in target simulates; set at run time through `POST /_standin/fault`. */
export enum FaultMode {
  None = "none",
  /** Every request takes ten times the usual work time. */
  Slow = "slow",
  /** A share of the responses have status 200 but hold the response to another request. */
  Wrong = "wrong",
  /** Alternates between slow and healthy phases. */
  Flapping = "flapping",
  /** Accepts requests and never responds, like a connection whose state a middlebox has dropped. */
  Silent = "silent",
  /** A share of the responses are errors (status 500). */
  Error = "error",
  /** Most requests fail immediately with an error: a partial failure. */
  Gray = "gray",
  /** Half of the requests are shed without being run, although slots are free. */
  Shedding = "sheds",
  /** Serves requests normally, but the health endpoint reports unhealthy. */
  HealthBad = "health-bad",
  /** Runs requests from one sidecar, selected by the `via` header, but never responds to them: a one-way partition. */
  OneWay = "one-way",
  /** Runs the request, then resets the connection instead of responding. */
  ResponseLost = "answer-lost",
  /** Sends half of the response body, then resets the connection. */
  Truncate = "truncate",
  /** Never responds on connections opened before the fault was set; new connections work. */
  SilentOld = "silent-old",
  /** Responses have a body without end. */
  EndlessBody = "endless-body",
  /** Responses have headers without end. */
  EndlessHeaders = "endless-headers",
  /** Responses have a status line without end. */
  EndlessStatusLine = "endless-status-line",
  /** Sends interim responses (status 103) without end instead of a response. */
  EndlessInterim = "endless-interim",
  /** Sends empty lines without end instead of a response. */
  EndlessEmptyLines = "endless-empty-lines",
  /** Responses have a chunk extension without end. */
  EndlessChunkExtension = "endless-chunk-extension",
  /** Responses have trailers without end. */
  EndlessTrailers = "endless-trailers",
}
