import { createServer, type AddressInfo } from "node:net";
import test from "ava";
import bunyan from "bunyan";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { EndedTargets } from "./EndedTargets.ts";
import { isListening } from "./isListening.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

test("ended targets: a target with a listening process is not taken to have ended, one without is", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const target = { ...makeTarget("a"), url: `http://127.0.0.1:${port}` };
  const ended: string[] = [];
  const endedTargets = new EndedTargets({
    isListening,
    onEnded: ({ id }) => ended.push(id),
    log,
  });
  t.false(await endedTargets.check(target));
  t.deepEqual(ended, []);
  await new Promise((resolve) => server.close(resolve));
  t.true(await endedTargets.check(target));
  t.deepEqual(ended, ["a"]);
});

test("ended targets: runs that are lost together are checked once", async (t) => {
  let checks = 0;
  let ends = 0;
  const endedTargets = new EndedTargets({
    isListening: () => {
      checks += 1;
      return Promise.resolve(false);
    },
    onEnded: () => (ends += 1),
    log,
  });
  const target = makeTarget("a");
  const results = await Promise.all([1, 2, 3].map(() => endedTargets.check(target)));
  t.deepEqual(results, [true, true, true]);
  t.deepEqual([checks, ends], [1, 1]);
});
