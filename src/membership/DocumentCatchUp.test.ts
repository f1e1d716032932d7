import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../test/fixtures/FakeClock.ts";
import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "../common/document/EMPTY_DOCUMENT.ts";
import { DocumentCatchUp } from "./DocumentCatchUp.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** How long control may take before the document is fetched from members, ms. */
const CONTROL_GRACE_MS = 400;

/** A catch-up whose fetches complete or fail when the test says so. */
function setUp() {
  const clock = new FakeClock();
  const config = { version: 1 };
  const fetches = new Map<string, { respond: (version: number) => void; fail: () => void }>();
  const catchUp = new DocumentCatchUp({
    peers: {
      config: (address) =>
        new Promise<readonly DocumentUpdate[]>((resolve, reject) => {
          fetches.set(address, {
            respond: (version) => {
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
      get receivedVersion() {
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
  return { clock, config, fetches, catchUp, fetchedFrom: () => [...fetches.keys()] };
}

test("catch-up fetches the newest reported version, and only once", async (t) => {
  const { clock, config, fetches, catchUp, fetchedFrom } = setUp();
  catchUp.noteVersion("stale", 2);
  catchUp.noteVersion("newest", 5);
  catchUp.noteVersion("newer", 3);
  await clock.advance(CONTROL_GRACE_MS);
  t.deepEqual(fetchedFrom(), ["newest"]);
  fetches.get("newest")?.respond(5);
  await clock.advance(0);
  await clock.advance(5000);
  t.is(config.version, 5);
  t.deepEqual(fetchedFrom(), ["newest"], "no other member is asked");
});

test("catch-up fetches from the control replica that announced the version, within the grace period", async (t) => {
  const { clock, catchUp, fetchedFrom } = setUp();
  catchUp.noteVersion("member", 5);
  catchUp.noteAnnounced("replica", 5);
  catchUp.noteVersion("replica", 5);
  await clock.advance(CONTROL_GRACE_MS);
  t.deepEqual(fetchedFrom(), ["replica"]);
});

test("catch-up races a slow member with at most three others, and still takes its response", async (t) => {
  const { clock, config, fetches, catchUp, fetchedFrom } = setUp();
  for (const address of ["a", "b", "c", "d", "e", "f"]) {
    catchUp.noteVersion(address, 2);
  }
  await clock.advance(5000);
  t.is(fetchedFrom().length, 4, "concurrent fetches are bounded");
  fetches.get(fetchedFrom()[0] ?? "")?.respond(2);
  await clock.advance(0);
  await clock.advance(5000);
  t.is(config.version, 2);
  t.is(fetchedFrom().length, 4);
});

test("catch-up asks another member at once after a failed fetch", async (t) => {
  const { clock, fetches, catchUp, fetchedFrom } = setUp();
  catchUp.noteVersion("a", 2);
  catchUp.noteVersion("b", 2);
  await clock.advance(CONTROL_GRACE_MS);
  fetches.get(fetchedFrom()[0] ?? "")?.fail();
  await clock.advance(1);
  t.deepEqual(fetchedFrom().sort(), ["a", "b"]);
});

test("catch-up does not fetch a series of changes that control delivers in time", async (t) => {
  const { clock, config, catchUp, fetchedFrom } = setUp();
  for (let version = 2; version < 40; version++) {
    catchUp.noteVersion("a", version);
    await clock.advance(80);
    config.version = version;
  }
  t.deepEqual(fetchedFrom(), []);
});
