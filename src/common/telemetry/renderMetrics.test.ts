import test from "ava";
import { Counter, Histogram, Registry } from "prom-client";
import { renderMetrics } from "./renderMetrics.ts";

test("metrics: what counts decisions stands before the histograms", async (t) => {
  // Story: on-call engineers had the first few KB of each process's metrics. They held histograms
  // alone, and none of the counters that tell what was retried and refused.
  const registry = new Registry();
  new Histogram({ name: "took_seconds", help: "h", registers: [registry] }).observe(1);
  new Counter({ name: "tries_total", help: "c", registers: [registry] }).inc(3);
  const text = await renderMetrics(registry);
  const at = (part: string) => text.indexOf(part);
  t.true(at("tries_total 3") >= 0);
  t.true(at("tries_total 3") < at("took_seconds_bucket"));
  t.is(text.split("# HELP").length - 1, 2);
});
