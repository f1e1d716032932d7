import { writeFileSync } from "node:fs";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { stringify } from "yaml";
import { LocalFleet } from "../scripts/LocalFleet.ts";
import { ConfigState } from "../src/control/log/ConfigState.ts";
import { FileReplicaStore } from "../src/control/log/FileReplicaStore.ts";
import { eventually } from "./fixtures/eventually.ts";
import { standIn } from "./fixtures/standIn.ts";

const TARGETS = [
  { id: "old", service: "old-home", zone: "zone-a", slots: 8 },
  { id: "new", service: "new-home", zone: "zone-b", slots: 8 },
];

/** Interval between the lookups of one path at one sidecar, ms. */
const LOOKUP_INTERVAL_MS = 50;

/** Head start of the sidecars, ms: their callers' requests arrive before control has a leader. */
const HEAD_START_MS = 300;

/** Time for which a control replica without a quorum runs beside the sidecars, ms. */
const NO_QUORUM_MS = 5000;

/** A lookup that was answered. */
interface Lookup {
  readonly path: string;
  readonly status: number;
  /** The service that ran it. */
  readonly service: string | undefined;
}

/** The document of `version`: in the last one, `/moved/` belongs to another service, and `/added/` exists. */
function documentOf(version: number, isLast: boolean): string {
  const common = { idempotent: true, timeoutMs: 3000, attempts: 2 };
  const services = TARGETS.map(({ service: name }) => ({
    name,
    customer: "users",
    timeoutMs: 3000,
  }));
  const moved = { name: "moved", prefix: "/moved/", service: isLast ? "new-home" : "old-home" };
  const added = { name: "added", prefix: "/added/", service: "new-home" };
  const filler = { name: "filler", prefix: `/filler-${version}/`, service: "old-home" };
  const routes = [moved, filler, ...(isLast ? [added] : [])].map((r) => ({ ...r, ...common }));
  const bookings = { name: "bookings", prefix: "/bookings/", service: "new-home" };
  return stringify({
    services,
    routes: [...routes, { ...bookings, ...common, idempotent: false }],
  });
}

async function apply(fleet: LocalFleet, version: number, isLast: boolean): Promise<void> {
  const file = join(fleet.dir, "document.yaml");
  writeFileSync(file, documentOf(version, isLast));
  const { code, err } = await fleet.apply(file);
  if (code !== 0) {
    throw new Error(err);
  }
}

/** Sends lookups to both paths at all sidecars until stopped, or until the test ends. */
function startLookups(t: ExecutionContext, fleet: LocalFleet) {
  const answered: Lookup[] = [];
  let isStopped = false;
  const lookUp = async (port: number, path: string) => {
    try {
      const res = await fetch(`http://127.0.0.1:${port}${path}`);
      const text = await res.text();
      const { service } = res.ok ? (JSON.parse(text) as { service: string }) : {};
      answered.push({ path, status: res.status, service });
    } catch {
      // The sidecar is down.
    }
  };
  const loops = [...fleet.sidecars.values()].flatMap(({ ports }) =>
    ["/moved/x", "/added/x"].map(async (path) => {
      while (!isStopped) {
        void lookUp(ports.caller ?? 0, path);
        await new Promise((resolve) => setTimeout(resolve, LOOKUP_INTERVAL_MS));
      }
    }),
  );
  const stop = async () => {
    isStopped = true;
    await Promise.all(loops);
  };
  t.teardown(stop);
  return { answered, stop };
}

/** The lookups that were answered as only an older version of the document does. */
const byOlderVersion = (lookups: readonly Lookup[]) =>
  lookups.filter(({ status, service }) => status === 404 || service === "old-home");

const servedOn = (lookups: readonly Lookup[], path: string) =>
  lookups.filter((l) => l.path === path && l.status === 200).length;

/** Kills all control replicas and sidecars at the same moment. */
async function blackOut(fleet: LocalFleet): Promise<void> {
  await Promise.all([
    ...[...fleet.controls.keys()].map((id) => fleet.killControl(id)),
    ...[...fleet.sidecars.keys()].map((id) => fleet.killSidecar(id)),
  ]);
}

/** Compacts the stored log of a control replica up to the entry with version `version` of the document. */
function compactStore(dir: string, version: number): void {
  const store = new FileReplicaStore(dir);
  const stored = store.load();
  const last = stored?.entries.find(
    (e) => e.body.kind === "change" && e.body.change.version === version,
  );
  if (!stored || !last) {
    throw new Error(`version ${version} is not in the log of ${dir}`);
  }
  const state = new ConfigState(stored.snapshot.config);
  for (const { index, body } of stored.entries) {
    if (index <= last.index && body.kind === "change") {
      state.apply(body.change);
    }
  }
  const { index, term } = last;
  const snapshot = { ...stored.snapshot, index, term, config: state.snapshot() };
  store.replace({ ...stored, snapshot, entries: stored.entries.filter((e) => e.index > index) });
}

/** Runs `body` on a fleet of sidecars without disks on which three versions of the document were applied. */
async function withVersions(body: (fleet: LocalFleet) => Promise<void>): Promise<void> {
  const fleet = new LocalFleet({
    controls: 3,
    sidecarDisks: false,
    joinsThroughControl: true,
    traces: false,
  });
  try {
    await fleet.start(TARGETS);
    for (const version of [1, 2, 3]) {
      await apply(fleet, version, version === 3);
    }
    await fleet.waitForVersion(3);
    await fleet.waitForTargets(TARGETS.length);
    await body(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Waits until both paths are served, and checks that nothing was answered by an older version. */
async function checkServed(
  t: ExecutionContext,
  { answered, stop }: ReturnType<typeof startLookups>,
): Promise<void> {
  await eventually(() => servedOn(answered, "/moved/x") > 3 && servedOn(answered, "/added/x") > 3);
  await stop();
  t.deepEqual(byOlderVersion(answered), []);
  t.true(servedOn(answered, "/moved/x") > 3);
  t.true(servedOn(answered, "/added/x") > 3);
}

test.serial(
  "requests held by a starting sidecar aren't decided by a version that it passes through",
  async (t) => {
    await withVersions(async (fleet) => {
      await blackOut(fleet);
      await Promise.all([...fleet.sidecars.keys()].map((id) => fleet.restartSidecar(id)));
      const lookups = startLookups(t, fleet);
      await new Promise((resolve) => setTimeout(resolve, HEAD_START_MS));
      await Promise.all([...fleet.controls.keys()].map((id) => fleet.restartControl(id)));
      await checkServed(t, lookups);
    });
  },
);

test.serial(
  "a control replica without a quorum hands out no document after its restart",
  async (t) => {
    await withVersions(async (fleet) => {
      await blackOut(fleet);
      const [alone = "", ...others] = fleet.controls.keys();
      compactStore(fleet.controlDataDir(alone), 1);
      const ids = [...fleet.sidecars.keys()];
      await Promise.all([
        fleet.restartControl(alone),
        ...ids.map((id) => fleet.restartSidecar(id)),
      ]);
      const lookups = startLookups(t, fleet);
      await new Promise((resolve) => setTimeout(resolve, NO_QUORUM_MS));
      t.deepEqual(byOlderVersion(lookups.answered), []);
      t.true(lookups.answered.length > 0);
      await Promise.all(others.map((id) => fleet.restartControl(id)));
      await checkServed(t, lookups);
    });
  },
);

test.serial("a booking isn't run again after all sidecars without disks were killed", async (t) => {
  await withVersions(async (fleet) => {
    const book = async () => {
      const port = fleet.sidecars.get("old")?.ports.caller ?? 0;
      const init = { method: "POST", headers: { "idempotency-key": "b-1" }, body: "{}" };
      const res = await fetch(`http://127.0.0.1:${port}/bookings/x`, init).catch(() => undefined);
      await res?.arrayBuffer();
      return res?.status;
    };
    await eventually(async () => (await book()) === 200);
    t.is(await standIn.countRuns(fleet, "b-1"), 1);
    await blackOut(fleet);
    await Promise.all([
      ...[...fleet.controls.keys()].map((id) => fleet.restartControl(id)),
      ...[...fleet.sidecars.keys()].map((id) => fleet.restartSidecar(id)),
    ]);
    const lookups = startLookups(t, fleet);
    await eventually(() => servedOn(lookups.answered, "/added/x") > 3);
    await lookups.stop();
    await book();
    t.is(await standIn.countRuns(fleet, "b-1"), 1);
  });
});
