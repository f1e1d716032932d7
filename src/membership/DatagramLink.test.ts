import test from "ava";
import { FakeClock } from "../../test/fixtures/FakeClock.ts";
import { freePort } from "../../scripts/freePort.ts";
import { DatagramLink } from "./DatagramLink.ts";

const gossip = {
  sender: "a",
  members: [],
  checksum: 0,
  config_version: 0,
  known: [],
  evidence: [],
  known_evidence: [],
  predecessor: null,
  running_ms: 0,
};

/** A link on a free port whose handlers reply with no membership updates, and the requests that it has handled. */
const open = async () => {
  const clock = new FakeClock();
  const link = new DatagramLink(clock, () => undefined);
  const handled: string[] = [];
  const handle = <T>(kind: string, reply: T) => {
    handled.push(kind);
    return reply;
  };
  const port = await freePort();
  await link.listen(`127.0.0.1:${port}`, {
    onProbe: () => handle("probe", gossip),
    onCompare: () => handle("compare", gossip),
    onProbeFor: () => handle("probe for", Promise.resolve()),
  });
  return { clock, link, handled, address: `127.0.0.1:${port}` };
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

const resends: readonly {
  kind: string;
  request: (link: DatagramLink, to: string) => Promise<unknown>;
}[] = [
  { kind: "probe", request: (link, to) => link.probe(to, gossip) },
  { kind: "compare", request: (link, to) => link.compare(to, []) },
  { kind: "probe for", request: (link, to) => link.probeFor(to, "127.0.0.1:9") },
];

for (const { kind, request } of resends) {
  test(`link: a resent request is answered again, and not handled again: ${kind}`, async (t) => {
    // Guards against updates that miss members: gossip that was handled twice counted as that of two members.
    const [sender, receiver] = await Promise.all([open(), open()]);
    const replies: Promise<unknown>[] = [];
    for (let n = 0; n < 2; n++) {
      const reply = request(sender.link, receiver.address);
      // The resend's timer fires before either datagram is read.
      await sender.clock.advance(130);
      replies.push(reply);
    }
    await t.notThrowsAsync(Promise.all(replies));
    await new Promise((resolve) => setTimeout(resolve, 50));
    t.deepEqual(receiver.handled, [kind, kind]);
    sender.link.dispose();
    receiver.link.dispose();
  });
}
