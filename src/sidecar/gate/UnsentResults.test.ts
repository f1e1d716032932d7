import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { UnsentResults } from "./UnsentResults.ts";

/** A sender notices a silent connection after 750 ms, and opens a new one every 500 ms. */
const LAST_REATTACH_MS = 1250;

/** Longer than a stopping sidecar may wait for a sender that has gone, ms. */
const GONE_MS = 2000;

const grant = GrantId("b.1");

type Step = { readonly add: GrantId } | { readonly remove: GrantId } | { readonly waitMs: number };

const cases: readonly { name: string; steps: readonly Step[]; isAwaited: boolean }[] = [
  {
    name: "is awaited while its sender may reattach",
    steps: [{ add: grant }, { waitMs: LAST_REATTACH_MS }],
    isAwaited: true,
  },
  {
    name: "is awaited from the end of its run, not from the loss of the connection",
    steps: [{ add: grant }, { waitMs: GONE_MS }, { add: grant }, { waitMs: LAST_REATTACH_MS }],
    isAwaited: true,
  },
  {
    name: "is not awaited once its sender has gone",
    steps: [{ add: grant }, { waitMs: GONE_MS }],
    isAwaited: false,
  },
  {
    name: "is not awaited once it has been sent",
    steps: [{ add: grant }, { remove: grant }],
    isAwaited: false,
  },
  {
    name: "is awaited although that of another run has been sent",
    steps: [{ add: grant }, { add: GrantId("b.2") }, { remove: GrantId("b.2") }],
    isAwaited: true,
  },
];

for (const { name, steps, isAwaited } of cases) {
  test(`unsent results: a result that could not be sent ${name}`, async (t) => {
    const clock = new FakeClock();
    const unsent = new UnsentResults(clock);
    for (const step of steps) {
      if ("add" in step) {
        unsent.add(step.add);
      } else if ("remove" in step) {
        unsent.remove(step.remove);
      } else {
        await clock.advance(step.waitMs);
      }
    }
    t.is(unsent.isAwaited, isAwaited);
  });
}
