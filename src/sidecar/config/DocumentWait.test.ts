import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { DocumentWait } from "./DocumentWait.ts";

/** A document wait at a sidecar that has been up for `upMs`, and a function that adds a waiting request. */
async function setUp(upMs: number) {
  const clock = new FakeClock();
  const wait = new DocumentWait(clock);
  await clock.advance(upMs);
  const resolved: string[] = [];
  const arrive = (name: string) => {
    void wait.wait().then(() => resolved.push(`${name} at ${clock.now()}`));
  };
  return { clock, wait, resolved, arrive };
}

test("requests at a starting sidecar are held until the document arrives", async (t) => {
  // The whole fleet was killed and restarts. Guards against refusing requests that reach a sidecar
  // 200 ms before control has a leader that could deliver the document.
  const { clock, wait, resolved, arrive } = await setUp(100);
  arrive("a");
  await clock.advance(200);
  arrive("b");
  t.deepEqual(resolved, []);
  wait.release();
  await clock.advance(0);
  t.deepEqual(resolved, ["a at 300", "b at 300"]);
});

test("request is held no longer than 800 ms", async (t) => {
  const { clock, resolved, arrive } = await setUp(100);
  arrive("a");
  await clock.advance(5000);
  t.deepEqual(resolved, ["a at 900"]);
});

test("sidecar that is past its startup holds no requests", async (t) => {
  const { clock, resolved, arrive } = await setUp(3000);
  arrive("a");
  await clock.advance(0);
  t.deepEqual(resolved, ["a at 3000"]);
});

test("number of held requests is bounded", async (t) => {
  const { clock, resolved, arrive } = await setUp(100);
  for (let n = 0; n < 70; n++) {
    arrive(String(n));
  }
  await clock.advance(0);
  t.is(resolved.length, 6);
});
