/** A request was not sent, since its grant had expired by the time at which its connection was ready. */
export class GrantExpiredError extends Error {
  constructor() {
    super("the grant has expired");
    this.name = "GrantExpiredError";
  }
}
