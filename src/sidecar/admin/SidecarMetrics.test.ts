import test from "ava";
import { SidecarMetrics } from "./SidecarMetrics.ts";

test("sidecar metrics: every recorded value appears in the served text", async (t) => {
  const metrics = new SidecarMetrics();
  metrics.watchConfig(
    () => ({ version: 7, inForceSince: 1000 }),
    () => 3500,
  );
  metrics.countRefusal("full");
  metrics.observeQueueWait(300);
  metrics.countHealthChange("results", true);
  metrics.countExtraRun("results", "hedge");
  metrics.countDeniedRetry("results");
  metrics.countControlBytes("config", "same", 700);
  const figures = { firstTries: 20, extras: 3, allowed: 5.5 };
  metrics.watchBudgets(() => [{ service: "results", figures }]);
  metrics.countFairRefusal("results");
  const slotTime = { service: "results", target: "t1", user: "lab", share: 0.25 };
  metrics.watchSlotTimeShares(() => [slotTime]);
  metrics.observeRequest("results", "done", 20);
  metrics.countHedgeRefusal("results", "work-share");
  metrics.observeHedge("results", { won: "second", workMs: 500, savedMs: 300 });
  metrics.observeHedge("results", { won: "first", workMs: 250, savedMs: 0 });
  const text = await metrics.registry.metrics();
  for (const line of [
    "burdockpass_config_version 7",
    "burdockpass_config_age_seconds 2.5",
    'burdockpass_slot_refusals_total{reason="full"} 1',
    'burdockpass_slot_wait_seconds_bucket{le="0.25"} 0',
    'burdockpass_slot_wait_seconds_bucket{le="0.5"} 1',
    'burdockpass_target_ejections_total{service="results",change="ejected"} 1',
    'burdockpass_extra_tries_total{service="results",cause="hedge"} 1',
    'burdockpass_retries_denied_total{service="results"} 1',
    'burdockpass_control_bytes_total{kind="config",zone="same"} 700',
    'burdockpass_retry_budget{service="results",what="allowed"} 5.5',
    'burdockpass_fair_share_refusals_total{service="results"} 1',
    'burdockpass_slot_time_share{service="results",target="t1",workspace="lab"} 0.25',
    'burdockpass_hedges_total{service="results",won="second"} 1',
    'burdockpass_hedges_not_sent_total{service="results",reason="work-share"} 1',
    'burdockpass_hedge_work_seconds_total{service="results"} 0.75',
    'burdockpass_hedge_saved_seconds_count{service="results"} 1',
    'burdockpass_requests_total{service="results",verdict="done"} 1',
  ]) {
    t.true(text.includes(`${line}\n`), line);
  }
});
