import test from "ava";
import { FakeClock } from "../../test/fixtures/FakeClock.ts";
import { DatagramLink } from "./DatagramLink.ts";

const gossip = {
  sender: "a",
  members: [],
  checksum: 0,
  config_version: 0,
  known: [],
  evidence: [],
  known_evidence: [],
};

/** A link on a free port whose handlers reply with no membership updates. */
const open = async () => {
  const clock = new FakeClock();
  const link = new DatagramLink(clock, () => undefined);
  await link.listen("127.0.0.1:0", {
    onProbe: () => gossip,
    onCompare: () => gossip,
    onProbeFor: () => Promise.resolve(),
  });
  return { clock, link };
};

// Guards against a crash at a planned stop: a gossip round that began just before the stop resent
// its probe on the closed socket. The error was thrown in a timer, so the process exited with code 1
// and did not finish its shutdown.
test("link rejects a request made after it was closed, and its resend timer does not throw", async (t) => {
  const { clock, link } = await open();
  link.dispose();
  await t.throwsAsync(link.probe("127.0.0.1:9", gossip));
  await t.notThrowsAsync(clock.advance(5000));
});

test("link rejects a pending request when it is closed", async (t) => {
  const { clock, link } = await open();
  const probe = link.probe("127.0.0.1:9", gossip);
  link.dispose();
  await t.throwsAsync(probe);
  await t.notThrowsAsync(clock.advance(5000));
});

test("link can be closed twice", async (t) => {
  const { link } = await open();
  link.dispose();
  t.notThrows(() => {
    link.dispose();
  });
});
