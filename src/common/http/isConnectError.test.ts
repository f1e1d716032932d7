import test from "ava";
import { isConnectError } from "./isConnectError.ts";

const systemError = (code: string, syscall?: string) =>
  Object.assign(new Error(code), { code, syscall });

const cases: readonly { name: string; err: unknown; isConnect: boolean }[] = [
  { name: "refused", err: systemError("ECONNREFUSED", "connect"), isConnect: true },
  { name: "no route while opening", err: systemError("EHOSTUNREACH", "connect"), isConnect: true },
  {
    name: "no route on an open connection",
    err: systemError("EHOSTUNREACH", "read"),
    isConnect: false,
  },
  {
    name: "no network on an open connection",
    err: systemError("ENETUNREACH", "write"),
    isConnect: false,
  },
  { name: "an unknown name", err: systemError("ENOTFOUND", "getaddrinfo"), isConnect: true },
  {
    name: "undici's timeout for opening",
    err: systemError("UND_ERR_CONNECT_TIMEOUT"),
    isConnect: true,
  },
  { name: "a reset", err: systemError("ECONNRESET", "read"), isConnect: false },
  { name: "no system error", err: new Error("socket hang up"), isConnect: false },
  { name: "not an error", err: undefined, isConnect: false },
  {
    name: "every address of a name refused",
    err: new AggregateError([
      systemError("ECONNREFUSED", "connect"),
      systemError("ECONNREFUSED", "connect"),
    ]),
    isConnect: true,
  },
];

for (const { name, err, isConnect } of cases) {
  test(`connect error: ${name}: ${isConnect ? "nothing was sent" : "may have been sent"}`, (t) => {
    t.is(isConnectError(err), isConnect);
  });
}
