import test from "ava";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import type { RouteIndex } from "../routing/RouteIndex.ts";
import type { Admission } from "./Admission.ts";
import { RequestAdmission } from "./RequestAdmission.ts";
import { WorkspaceIndex } from "./WorkspaceIndex.ts";

const ADMIT_MS = 5000;
const REFUSE_MS = 2000;

const quota = { ratePerS: 1 };
const before = new WorkspaceIndex([
  { name: "a", apiKeys: ["key"] },
  { name: "limited", apiKeys: ["limited"], quota, priority: 7 },
]);
const revoked = new WorkspaceIndex([{ name: "a", apiKeys: [] }]);
const added = new WorkspaceIndex([{ name: "b", apiKeys: ["new"] }]);

type Taken = "granted" | "exhausted" | "unreachable";

interface Case {
  readonly name: string;
  readonly key?: string;
  readonly path?: string;
  /** Age of the document when the request arrives, ms. */
  readonly ageMs: number;
  /** What a confirmation leads to: nothing, or the document in force then. */
  readonly confirmed?: WorkspaceIndex;
  readonly workspaces?: WorkspaceIndex;
  readonly credit?: Taken;
  readonly expected: string;
}

const cases: readonly Case[] = [
  { name: "a key by a recent document", key: "key", ageMs: 100, expected: "a, priority 1" },
  {
    name: "a key by a document that is too old and cannot be confirmed",
    key: "key",
    ageMs: 5001,
    expected: "503 the configuration may be outdated",
  },
  {
    name: "a key by a document that is confirmed meanwhile",
    key: "key",
    ageMs: 5001,
    confirmed: before,
    expected: "a, priority 1",
  },
  {
    name: "a key that the confirmed document no longer has",
    key: "key",
    ageMs: 5001,
    confirmed: revoked,
    expected: "401 unknown API key",
  },
  {
    name: "an unknown key by a recent document",
    key: "new",
    ageMs: 1999,
    expected: "401 unknown API key",
  },
  {
    name: "a key that may have been added since",
    key: "new",
    ageMs: 2001,
    expected: "503 the configuration may be outdated",
  },
  {
    name: "a key that has been added since",
    key: "new",
    ageMs: 2001,
    confirmed: added,
    expected: "b, priority 1",
  },
  {
    name: "a route that may have been added since",
    path: "/none",
    key: "key",
    ageMs: 2001,
    expected: "503 the configuration may be outdated",
  },
  { name: "an unknown route", path: "/none", key: "key", ageMs: 100, expected: "404 no route" },
  {
    name: "no key, by an old document that has no workspaces",
    workspaces: undefined,
    ageMs: Infinity,
    expected: "undefined, priority 1",
  },
  {
    name: "a workspace with a quota and a priority",
    key: "limited",
    ageMs: 100,
    credit: "granted",
    expected: "limited, priority 7",
  },
  {
    name: "a workspace over its quota",
    key: "limited",
    ageMs: 100,
    credit: "exhausted",
    expected: "429 quota of workspace limited used up, retry after 300 ms",
  },
  {
    name: "a workspace whose quota cannot be checked",
    key: "limited",
    ageMs: 100,
    credit: "unreachable",
    expected: "503 quota cannot be checked, retry after 300 ms",
  },
];

const describe = (admission: Admission): string => {
  if (admission.kind === "admitted") {
    return `${admission.workspace}, priority ${admission.route.priority}`;
  }
  const { status, reason, retryAfterMs } = admission;
  const retry = retryAfterMs === 300 ? ", retry after 300 ms" : "";
  return `${status} ${reason}${retry}`;
};

for (const c of cases) {
  test(`admission of ${c.name}: ${c.expected}`, async (t) => {
    const state = { ageMs: c.ageMs, workspaces: "workspaces" in c ? c.workspaces : before };
    const match = (_method: string, path: string) => (path === "/" ? makeRoute() : undefined);
    const admission = new RequestAdmission({
      config: () => ({
        routes: { match } as unknown as RouteIndex,
        workspaces: state.workspaces,
      }),
      draw: () => 0,
      freshness: {
        get ageMs() {
          return state.ageMs;
        },
      },
      confirmer: {
        ensure: () => {
          Object.assign(state, c.confirmed && { ageMs: 0, workspaces: c.confirmed });
          return Promise.resolve(c.confirmed !== undefined);
        },
      },
      credits: {
        take: () => {
          const kind = c.credit ?? "unreachable";
          return Promise.resolve(
            kind === "granted"
              ? { kind, credit: { release: () => undefined } }
              : { kind, retryAfterMs: 300 },
          );
        },
      },
      limits: () => ({ admitMs: ADMIT_MS, refuseMs: REFUSE_MS }),
    });
    const rawHeaders = c.key === undefined ? [] : ["authorization", `Bearer ${c.key}`];
    const req = { method: "GET", path: c.path ?? "/", host: "h", rawHeaders, isFromTarget: false };
    t.is(describe(await admission.admit(req)), c.expected);
  });
}
