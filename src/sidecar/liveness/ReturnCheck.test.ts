import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import { ReturnCheck } from "./ReturnCheck.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const LEAVING = { "x-burdockpass-leaving": "1" };

const cases: readonly {
  name: string;
  unusedMs: number;
  response: { status: number; headers: Record<string, string> } | undefined;
  path?: string;
  isChecked: boolean;
  returns: boolean;
}[] = [
  {
    name: "one that is in use is not checked",
    unusedMs: 5000,
    response: { status: 200, headers: {} },
    isChecked: false,
    returns: false,
  },
  {
    name: "one that is healthy and does not leave returns to service",
    unusedMs: 30_000,
    response: { status: 200, headers: {} },
    isChecked: true,
    returns: true,
  },
  {
    name: "one that still says that it is leaving stays out",
    unusedMs: 30_000,
    response: { status: 200, headers: LEAVING },
    isChecked: true,
    returns: false,
  },
  {
    name: "one that is not healthy stays out",
    unusedMs: 30_000,
    response: { status: 503, headers: {} },
    isChecked: true,
    returns: false,
  },
  {
    name: "one that does not respond stays out",
    unusedMs: 30_000,
    response: undefined,
    isChecked: true,
    returns: false,
  },
  {
    name: "one without a health endpoint is left as it is",
    unusedMs: 30_000,
    response: { status: 200, headers: {} },
    path: "",
    isChecked: false,
    returns: false,
  },
];

for (const { name, unusedMs, response, path = "/health", isChecked, returns } of cases) {
  test(`return check of unused targets: ${name}`, async (t) => {
    const clock = new FakeClock();
    const checked: string[] = [];
    const returned: string[] = [];
    const check = new ReturnCheck({
      targets: () => [makeTarget("a")],
      unusedMs: () => unusedMs,
      healthPath: () => (path === "" ? undefined : path),
      fetchHealth: (url) => {
        checked.push(url);
        return Promise.resolve(response);
      },
      readSignals: (...args) => ownDialect.readSignals(...args),
      onSignals: () => undefined,
      onReturn: ({ id }) => returned.push(id),
      clock,
      log,
    });
    await check.run();
    await check.run();
    t.deepEqual(checked, isChecked ? ["http://127.0.0.1/a/health"] : []);
    t.deepEqual(returned, returns ? ["a"] : []);
    await clock.advance(30_000);
    await check.run();
    t.is(checked.length, isChecked ? 2 : 0);
  });
}
