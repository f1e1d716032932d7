import test from "ava";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { MemberZones } from "./MemberZones.ts";

const member = (peer_address: string, zone: string) =>
  ({ peer_address, zone }) as ProtoTypes["Member"];

const cases: readonly { name: string; address: string; expected: string | undefined }[] = [
  { name: "a member", address: "10.0.0.1:7600", expected: "a" },
  { name: "a client's port on a member's host", address: "10.0.0.1:49152", expected: "a" },
  { name: "a member on a host shared by zones", address: "127.0.0.1:2", expected: "b" },
  {
    name: "a client's port on a host shared by zones",
    address: "127.0.0.1:49152",
    expected: undefined,
  },
  { name: "an unknown host", address: "10.0.0.9:7600", expected: undefined },
];

for (const { name, address, expected } of cases) {
  test(`member zones: ${name}`, (t) => {
    const members = [
      member("10.0.0.1:7600", "a"),
      member("127.0.0.1:1", "a"),
      member("127.0.0.1:2", "b"),
    ];
    t.is(new MemberZones(() => members).of(address), expected);
  });
}

test("member zones: a member that joins later is found", (t) => {
  let members = [member("10.0.0.1:7600", "a")];
  const zones = new MemberZones(() => members);
  t.is(zones.of("10.0.0.2:7600"), undefined);
  members = [...members, member("10.0.0.2:7600", "b")];
  t.is(zones.of("10.0.0.2:7600"), "b");
});
