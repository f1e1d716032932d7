/** System calls that run before anything can be sent: address lookup and opening the connection. */
const CONNECT_SYSCALLS = new Set(["getaddrinfo", "connect"]);

/** undici's error code for a timeout while opening a connection. */
const CONNECT_TIMEOUT = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Whether `err` occurred while a connection was being opened, and so before anything was sent over it. The error code
 * alone does not show this: an open connection also fails with EHOSTUNREACH when its peer's machine becomes unreachable.
 */
export function isConnectError(err: unknown): err is Error {
  if (err instanceof AggregateError) {
    // Node reports one error for each address of a host name.
    return err.errors.every((each) => isConnectError(each));
  }
  if (!(err instanceof Error)) {
    return false;
  }
  const { code, syscall } = err as NodeJS.ErrnoException;
  return code === CONNECT_TIMEOUT || CONNECT_SYSCALLS.has(syscall ?? "");
}
