import test from "ava";
import { isConnectError } from "./isConnectError.ts";

const systemError = (code: string, syscall?: string) =>
  Object.assign(new Error(code), { code, syscall });

const cases: readonly { name: string; err: unknown; isConnect: boolean }[] = [
  { name: "connection refused", err: systemError("ECONNREFUSED", "connect"), isConnect: true },
  {
    name: "no route to the host while connecting",
    err: systemError("EHOSTUNREACH", "connect"),
    isConnect: true,
  },
  {
    name: "no route to the host on an open connection",
    err: systemError("EHOSTUNREACH", "read"),
    isConnect: false,
  },
  {
    name: "network unreachable on an open connection",
    err: systemError("ENETUNREACH", "write"),
    isConnect: false,
  },
  { name: "an unknown host name", err: systemError("ENOTFOUND", "getaddrinfo"), isConnect: true },
  {
    name: "undici's connect timeout",
    err: systemError("UND_ERR_CONNECT_TIMEOUT"),
    isConnect: true,
  },
  { name: "a connection reset", err: systemError("ECONNRESET", "read"), isConnect: false },
  { name: "an error without a system call", err: new Error("socket hang up"), isConnect: false },
  { name: "not an error", err: undefined, isConnect: false },
  {
    name: "connection refused at every address of a host name",
    err: new AggregateError([
      systemError("ECONNREFUSED", "connect"),
      systemError("ECONNREFUSED", "connect"),
    ]),
    isConnect: true,
  },
];

for (const { name, err, isConnect } of cases) {
  test(`connect error: ${name}: ${isConnect ? "nothing was sent" : "something may have been sent"}`, (t) => {
    t.is(isConnectError(err), isConnect);
  });
}
