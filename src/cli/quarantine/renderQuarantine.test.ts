import test from "ava";
import { renderQuarantine } from "./renderQuarantine.ts";

const suspect = {
  fingerprint: "aa",
  service: "desk",
  request: "GET /depot/1",
  crashes: 1,
  state: "suspect",
  remainingS: 0,
};

test("quarantine list: operators see blocked requests first, with what they ask for", (t) => {
  const blocked = { ...suspect, fingerprint: "bb", crashes: 3, state: "blocked", remainingS: 280 };
  const [first = "", second = ""] = renderQuarantine({ quarantine: [suspect, blocked] }).split(
    "\n",
  );
  t.regex(first, /^bb +blocked for 280 s +desk +ended 3 targets: GET \/depot\/1$/);
  t.regex(second, /^aa +suspect +desk +ended 1 targets: GET \/depot\/1$/);
});

test("quarantine list: a sidecar of an older version, without one in its status, has none", (t) => {
  t.is(renderQuarantine({ id: "s1" }), "no request is under suspicion\n");
});
