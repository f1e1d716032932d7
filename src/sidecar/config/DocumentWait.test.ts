import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { DocumentWait } from "./DocumentWait.ts";

/** A wait for a document at a sidecar that has been up for `upMs`, and requests that wait there. */
async function rig(upMs: number) {
  const clock = new FakeClock();
  const wait = new DocumentWait(clock);
  await clock.advance(upMs);
  const over: string[] = [];
  const arrive = (name: string) => {
    void wait.wait().then(() => over.push(`${name} at ${clock.now()}`));
  };
  return { clock, wait, over, arrive };
}

test("document wait: requests are held until the document is there", async (t) => {
  // Story: the whole fleet is killed and back. The first callers reach sidecars 200 ms before
  // control has a leader that could tell them the document, and are refused.
  const { clock, wait, over, arrive } = await rig(100);
  arrive("a");
  await clock.advance(200);
  arrive("b");
  t.deepEqual(over, []);
  wait.release();
  await clock.advance(0);
  t.deepEqual(over, ["a at 300", "b at 300"]);
});

test("document wait: a request is not held past its use", async (t) => {
  const { clock, over, arrive } = await rig(100);
  arrive("a");
  await clock.advance(5000);
  t.deepEqual(over, ["a at 900"]);
});

test("document wait: once started for long, a sidecar holds nothing", async (t) => {
  const { clock, over, arrive } = await rig(3000);
  arrive("a");
  await clock.advance(0);
  t.deepEqual(over, ["a at 3000"]);
});

test("document wait: a bounded number is held", async (t) => {
  const { clock, over, arrive } = await rig(100);
  for (let n = 0; n < 70; n++) {
    arrive(String(n));
  }
  await clock.advance(0);
  t.is(over.length, 6);
});
