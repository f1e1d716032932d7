import { Readable } from "node:stream";
import test from "ava";
import { fingerprintOf } from "./fingerprintOf.ts";

const request = {
  method: "POST",
  path: "/bookings/van?depot=perth",
  headers: ["Host", "a.example", "X-Attempt-Id", "1", "Content-Type", "application/json"],
  body: Buffer.from("{}"),
};

/** Changes of a request, and whether it still asks for the same. */
const cases: readonly { name: string; change: Partial<typeof request>; isEqual: boolean }[] = [
  {
    name: "another attempt id",
    change: {
      headers: ["X-Attempt-Id", "2", "host", "a.example", "content-type", "application/json"],
    },
    isEqual: true,
  },
  { name: "another query", change: { path: "/bookings/van?depot=oban" }, isEqual: false },
  { name: "another method", change: { method: "PUT" }, isEqual: false },
  { name: "another body", change: { body: Buffer.from("[]") }, isEqual: false },
  {
    name: "another host",
    change: { headers: ["host", "b.example", "content-type", "application/json"] },
    isEqual: false,
  },
  {
    name: "another user",
    change: { headers: [...request.headers, "Authorization", "Bearer b"] },
    isEqual: false,
  },
];

for (const { name, change, isEqual } of cases) {
  test(`fingerprint: ${name} gives ${isEqual ? "the same" : "another"} fingerprint`, (t) => {
    const other = fingerprintOf("bookings", { ...request, ...change });
    t.is(other === fingerprintOf("bookings", request), isEqual);
    t.regex(other ?? "", /^[0-9a-f]{32}$/);
  });
}

test("fingerprint: the address of the sidecar that gets the request makes no difference", (t) => {
  const [first, ...others] = ["10.0.0.1:7080", "10.0.0.2:7080", "[::1]:7080"].map((host) =>
    fingerprintOf("bookings", { ...request, headers: ["Host", host] }),
  );
  t.true(others.every((fingerprint) => fingerprint === first));
});

test("fingerprint: requests to two services are never equal", (t) => {
  t.not(fingerprintOf("bookings", request), fingerprintOf("lookups", request));
});

test("fingerprint: a streamed body, known only once it was sent, gives none", (t) => {
  t.is(fingerprintOf("bookings", { ...request, body: Readable.from(["{}"]) }), undefined);
});
