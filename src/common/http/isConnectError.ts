/** System calls that fail before anything can be sent: a name's address is looked up, and a connection is opened. */
const OPENING_CALLS = new Set(["getaddrinfo", "connect"]);

/** undici's code for a connection that took too long to open. */
const CONNECT_TIMEOUT = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Whether `err` came up while a connection was being opened, and so before anything was sent over it. Its code does not
 * tell: an open connection fails with EHOSTUNREACH, too, when its peer's machine is no longer reached.
 */
export function isConnectError(err: unknown): err is Error {
  if (err instanceof AggregateError) {
    // One error for each address of a name.
    return err.errors.every((each) => isConnectError(each));
  }
  if (!(err instanceof Error)) {
    return false;
  }
  const { code, syscall } = err as NodeJS.ErrnoException;
  return code === CONNECT_TIMEOUT || OPENING_CALLS.has(syscall ?? "");
}
