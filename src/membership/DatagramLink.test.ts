import test from "ava";
import { FakeClock } from "../../test/fixtures/FakeClock.ts";
import { DatagramLink } from "./DatagramLink.ts";

const news = { sender: "a", members: [], checksum: 0, config_version: 0, known: [] };

/** A link on a free port whose handlers answer nothing. */
const open = async () => {
  const clock = new FakeClock();
  const link = new DatagramLink(clock, () => undefined);
  await link.listen("127.0.0.1:0", {
    onProbe: () => news,
    onCompare: () => news,
    onProbeFor: () => Promise.resolve(),
  });
  return { clock, link };
};

// Story: a sidecar is stopped as planned. A round of gossip that began just before asks
// once more on the socket that was closed meanwhile; the error, thrown by a timer, ended
// the process at once with code 1, whatever it still had to do.
test("a question asked after the link was closed fails, and nothing is sent later", async (t) => {
  const { clock, link } = await open();
  link.dispose();
  await t.throwsAsync(link.probe("127.0.0.1:9", news));
  await t.notThrowsAsync(clock.advance(5000));
});

test("a question under way fails when the link is closed", async (t) => {
  const { clock, link } = await open();
  const probe = link.probe("127.0.0.1:9", news);
  link.dispose();
  await t.throwsAsync(probe);
  await t.notThrowsAsync(clock.advance(5000));
});

test("a link may be closed twice", async (t) => {
  const { link } = await open();
  link.dispose();
  t.notThrows(() => {
    link.dispose();
  });
});
