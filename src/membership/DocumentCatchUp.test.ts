import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../test/fixtures/FakeClock.ts";
import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "../common/document/EMPTY_DOCUMENT.ts";
import { DocumentCatchUp } from "./DocumentCatchUp.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** How long control has before members are asked, ms. */
const BEHIND_MS = 400;

/** A catch-up whose fetches a test answers. */
function rig() {
  const clock = new FakeClock();
  const config = { version: 1 };
  const fetches = new Map<string, { answer: (version: number) => void; fail: () => void }>();
  const catchUp = new DocumentCatchUp({
    peers: {
      config: (address) =>
        new Promise<readonly DocumentUpdate[]>((resolve, reject) => {
          fetches.set(address, {
            answer: (version) => {
              resolve([{ kind: "whole", version, document: EMPTY_DOCUMENT }]);
            },
            fail: () => {
              reject(new Error("gone"));
            },
          });
        }),
    },
    config: {
      get version() {
        return config.version;
      },
      since: () => [],
      offer: (u) => {
        config.version = Math.max(config.version, u.version);
      },
    },
    clock,
    log,
  });
  return { clock, config, fetches, catchUp, asked: () => [...fetches.keys()] };
}

test("catch-up: the newest version that was reported is fetched", async (t) => {
  const { clock, config, fetches, catchUp, asked } = rig();
  catchUp.noteVersion("stale", 2);
  catchUp.noteVersion("newest", 5);
  catchUp.noteVersion("newer", 3);
  await clock.advance(BEHIND_MS);
  t.deepEqual(asked(), ["newest"]);
  fetches.get("newest")?.answer(5);
  await clock.advance(0);
  await clock.advance(5000);
  t.is(config.version, 5);
  t.deepEqual(asked(), ["newest"], "nobody else is asked");
});

test("catch-up: a member that does not answer is raced by others, and may still answer", async (t) => {
  const { clock, config, fetches, catchUp, asked } = rig();
  for (const address of ["a", "b", "c", "d", "e", "f"]) {
    catchUp.noteVersion(address, 2);
  }
  await clock.advance(5000);
  t.is(asked().length, 4, "bounded");
  fetches.get(asked()[0] ?? "")?.answer(2);
  await clock.advance(0);
  await clock.advance(5000);
  t.is(config.version, 2);
  t.is(asked().length, 4);
});

test("catch-up: after a failure another member is asked at once", async (t) => {
  const { clock, fetches, catchUp, asked } = rig();
  catchUp.noteVersion("a", 2);
  catchUp.noteVersion("b", 2);
  await clock.advance(BEHIND_MS);
  fetches.get(asked()[0] ?? "")?.fail();
  await clock.advance(1);
  t.deepEqual(asked().sort(), ["a", "b"]);
});

test("catch-up: changes that control delivers one after the other are not fetched", async (t) => {
  const { clock, config, catchUp, asked } = rig();
  for (let version = 2; version < 40; version++) {
    catchUp.noteVersion("a", version);
    await clock.advance(80);
    config.version = version;
  }
  t.deepEqual(asked(), []);
});
