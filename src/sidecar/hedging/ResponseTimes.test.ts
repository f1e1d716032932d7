import test from "ava";
import { ResponseTimes } from "./ResponseTimes.ts";

/** Adds `n` response times from 1 to 100 ms, evenly spread. */
function fill(times: ResponseTimes, n: number): void {
  for (let i = 0; i < n; i++) {
    times.add(((i * 37) % 100) + 1);
  }
}

test("response times: no quantile from few samples, which would differ widely between sidecars", (t) => {
  const times = new ResponseTimes();
  fill(times, 39);
  t.is(times.quantile(0.95), undefined);
  t.is(times.meanRemainingMs(10), undefined);
});

for (const [q, ms] of [
  [0.5, 51],
  [0.9, 91],
  [0.95, 96],
] as const) {
  test(`response times: the quantile ${q} of 1 to 100 ms is ${ms} ms`, (t) => {
    const times = new ResponseTimes();
    fill(times, 200);
    t.true(Math.abs((times.quantile(q) ?? 0) - ms) <= 2, String(times.quantile(q)));
    t.true(Math.abs((times.meanRemainingMs(90) ?? 0) - 5.5) <= 1);
  });
}

test("response times: a stuck tenth, counted with the delay, doesn't raise the delay window by window", (t) => {
  // A tenth of the runs never end; each is cancelled when its hedge responds, 50 ms after the delay.
  const times = new ResponseTimes();
  fill(times, 256);
  const before = times.quantile(0.95) ?? 0;
  for (let i = 0; i < 2000; i++) {
    times.add(i % 10 === 0 ? (times.quantile(0.95) ?? 0) : ((i * 37) % 100) + 1);
  }
  t.true(Math.abs((times.quantile(0.95) ?? 0) - before) <= 5, String(times.quantile(0.95)));
});

test("response times: the delay follows a service that becomes slower, although hedges win half of the races", (t) => {
  const times = new ResponseTimes();
  fill(times, 256);
  for (let i = 0; i < 1000; i++) {
    const ms = 3 * (((i * 37) % 100) + 1);
    const delay = times.quantile(0.95) ?? 0;
    times.add(ms > delay && i % 2 === 0 ? delay : ms);
  }
  t.true((times.quantile(0.95) ?? 0) > 250, String(times.quantile(0.95)));
});
