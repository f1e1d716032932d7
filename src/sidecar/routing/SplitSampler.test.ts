import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { SplitSampler } from "./SplitSampler.ts";

for (const weight of [0.05, 0.25, 0.5, 0.9]) {
  test(`split: an entry of weight ${String(weight)} gets nearly its share of few requests`, (t) => {
    const sampler = new SplitSampler(seededRandom(7));
    const draws = Array.from({ length: 100 }, () => sampler.next("route"));
    const share = draws.filter((d) => d < weight).length / draws.length;
    t.true(Math.abs(share - weight) <= 0.02, `share ${String(share)}`);
  });
}

test("split: many sidecars with one request each do not all choose the same entry", (t) => {
  const random = seededRandom(3);
  const draws = Array.from({ length: 1000 }, () => new SplitSampler(random).next("route"));
  const share = draws.filter((d) => d < 0.3).length / draws.length;
  t.true(Math.abs(share - 0.3) < 0.05, `share ${String(share)}`);
});

test("split: each route has its own sequence", (t) => {
  const sampler = new SplitSampler(() => 0);
  t.is(sampler.next("a"), sampler.next("b"));
  t.not(sampler.next("a"), sampler.next("c"));
});
