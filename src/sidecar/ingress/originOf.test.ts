import test from "ava";
import { RequestOrigin } from "../routing/RequestOrigin.ts";
import { originOf } from "./originOf.ts";

const TARGET = "http://10.1.0.41:8628";

const cases: readonly {
  name: string;
  address: string | undefined;
  targets: readonly string[];
  want: RequestOrigin;
}[] = [
  {
    name: "the local target",
    address: "10.1.0.41",
    targets: [TARGET],
    want: RequestOrigin.TargetVm,
  },
  {
    name: "the local target, as an IPv4-mapped address of a dual-stack socket",
    address: "::ffff:10.1.0.41",
    targets: [TARGET],
    want: RequestOrigin.TargetVm,
  },
  {
    name: "the local target at an IPv6 address",
    address: "fd00::9",
    targets: ["http://[fd00::9]:80"],
    want: RequestOrigin.TargetVm,
  },
  { name: "a caller", address: "10.9.0.7", targets: [TARGET], want: RequestOrigin.Elsewhere },
  {
    name: "a loopback address, which callers and targets may share",
    address: "127.0.0.1",
    targets: ["http://127.0.0.1:9001"],
    want: RequestOrigin.Unknown,
  },
  {
    name: "any address when there is no local target",
    address: "10.9.0.7",
    targets: [],
    want: RequestOrigin.Unknown,
  },
  {
    name: "a closed connection",
    address: undefined,
    targets: [TARGET],
    want: RequestOrigin.Unknown,
  },
];

for (const { name, address, targets, want } of cases) {
  test(`origin: a request from ${name}`, (t) => {
    t.is(originOf(address, targets), want);
  });
}
