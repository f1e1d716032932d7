import test from "ava";
import { Counter, Histogram, Registry } from "prom-client";
import { renderMetrics } from "./renderMetrics.ts";

test("metrics: counters are rendered before histograms", async (t) => {
  // Guards against counters missing from truncated metrics: in the first few KB of a process's
  // metrics, on-call engineers saw only histograms, and no counts of retries and refusals.
  const registry = new Registry();
  new Histogram({ name: "took_seconds", help: "h", registers: [registry] }).observe(1);
  new Counter({ name: "tries_total", help: "c", registers: [registry] }).inc(3);
  const text = await renderMetrics(registry);
  const indexOf = (part: string) => text.indexOf(part);
  t.true(indexOf("tries_total 3") >= 0);
  t.true(indexOf("tries_total 3") < indexOf("took_seconds_bucket"));
  t.is(text.split("# HELP").length - 1, 2);
});
