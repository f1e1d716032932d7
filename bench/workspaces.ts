/**
 * Measures what workspaces cost, for docs/CAPACITY.md: the heap that a sidecar keeps for them (parsed document and index by
 * key), the heap of a control replica for those that are active, and the time of one admission, with a key and without
 * workspaces. Not a test: `node --expose-gc --import tsx bench/workspaces.ts`.
 */
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { EMPTY_DOCUMENT } from "../src/common/document/EMPTY_DOCUMENT.ts";
import type { Workspace } from "../src/common/document/Workspace.ts";
import { ReplicaId } from "../src/common/ids/ReplicaId.ts";
import { QuotaTolerance } from "../src/common/settings/QuotaTolerance.ts";
import { WorkspaceQuotas } from "../src/control/quota/WorkspaceQuotas.ts";
import { RouteIndex } from "../src/sidecar/routing/RouteIndex.ts";
import { RequestAdmission } from "../src/sidecar/workspaces/RequestAdmission.ts";
import { WorkspaceIndex } from "../src/sidecar/workspaces/WorkspaceIndex.ts";
import { makeService } from "../test/fixtures/makeService.ts";

const COUNTS = [10_000, 100_000, 580_000];

/** Admissions per measurement. */
const ADMISSIONS = 100_000;

const MB = 1024 * 1024;

const keyOf = (n: number) => `key-${n}-0123456789abcdef`;

/** Workspaces as they are read from an accepted document, each value a separate object. */
function makeWorkspaces(count: number): Workspace[] {
  const documents = Array.from({ length: count }, (_, n) =>
    JSON.stringify({
      name: `workspace-${n}`,
      apiKeys: [keyOf(n)],
      quota: { ratePerS: 5, burst: 10 },
    }),
  );
  return documents.map((text) => JSON.parse(text) as Workspace);
}

/** Heap that the result of `make` keeps, MB. */
function retainedMb<T>(make: () => T): { mb: number; kept: T } {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  globalThis.gc?.();
  return { mb: (process.memoryUsage().heapUsed - before) / MB, kept };
}

/** Mean time of an admission, µs. */
async function admissionUs(workspaces: WorkspaceIndex | undefined, key: string): Promise<number> {
  const routes = new RouteIndex({ ...EMPTY_DOCUMENT, services: [makeService({ routes: ["/a"] })] });
  const admission = new RequestAdmission({
    config: () => ({ routes, workspaces }),
    draw: () => 0,
    freshness: { ageMs: 100 },
    confirmer: { ensure: () => Promise.resolve(true) },
    credits: {
      take: () => Promise.resolve({ kind: "granted", credit: { release: () => undefined } }),
    },
    limits: () => ({ admitMs: 1000, refuseMs: 1000 }),
  });
  const rawHeaders = ["authorization", `Bearer ${key}`];
  const req = { method: "GET", path: "/a/1", host: undefined, rawHeaders, isFromTarget: false };
  const startedAt = performance.now();
  for (let n = 0; n < ADMISSIONS; n++) {
    await admission.admit(req);
  }
  return ((performance.now() - startedAt) / ADMISSIONS) * 1000;
}

for (const count of COUNTS) {
  const { mb: documentMb, kept: workspaces } = retainedMb(() => makeWorkspaces(count));
  const { mb: indexMb, kept: index } = retainedMb(() => new WorkspaceIndex(workspaces));
  const document = { ...EMPTY_DOCUMENT, workspaces };
  const quotas = new WorkspaceQuotas({
    document: () => document,
    holders: () => ({
      self: ReplicaId("a"),
      ids: [ReplicaId("a")],
      parts: 1,
      since: -Infinity,
      settledSince: -Infinity,
    }),
    tolerance: () => QuotaTolerance.parse({}),
    clock: SystemClock,
  });
  const active = Math.min(count, 10_000);
  const { mb: activeMb } = retainedMb(() => {
    workspaces.slice(0, active).forEach(({ name }) => quotas.take(name));
    return quotas;
  });
  console.log(
    `${count} workspaces:`,
    `document ${documentMb.toFixed(1)} MB, index ${indexMb.toFixed(1)} MB;`,
    `replica, names and ${active} active ones ${activeMb.toFixed(1)} MB;`,
    `admission with a key ${(await admissionUs(index, keyOf(1))).toFixed(2)} µs,`,
    `without workspaces ${(await admissionUs(undefined, keyOf(1))).toFixed(2)} µs`,
  );
}
