import type { RequestKind, Scenario } from "./Scenario.ts";

/** Kinds of request of the customer Glenbrae, at `share` of their full rate. */
const glenbrae = (share: number): RequestKind[] => [
  {
    name: "availability-check",
    service: "fleet-desk",
    idempotent: true,
    priority: 2,
    perSecond: 16.3 * share,
    workMs: 480,
    objectiveMs: 1500,
    deadlineMs: 8000,
    credit: [1, 0.3],
    nestedCalls: { kind: "hire-ledger-read", count: 2, share: 0.7 },
  },
  {
    name: "booking-confirm",
    service: "hire-book",
    idempotent: false,
    priority: 1,
    perSecond: 31.9 * share,
    workMs: 370,
    objectiveMs: 1500,
    deadlineMs: 5000,
    credit: [2, 0.6],
    nestedCalls: { kind: "unit-log-read", count: 1, share: 0.7 },
  },
  {
    name: "trace-report",
    service: "cold-trace",
    idempotent: true,
    priority: 2,
    perSecond: 5.5 * share,
    workMs: 300,
    objectiveMs: 1500,
    deadlineMs: 10_000,
    credit: [1, 0.3],
  },
  call("hire-ledger-read", "hire-book", 93),
  call("unit-log-read", "cold-trace", 93),
];

function call(name: string, service: string, workMs: number): RequestKind {
  return {
    name,
    service,
    idempotent: true,
    priority: 2,
    perSecond: 0,
    workMs,
    objectiveMs: 400,
    deadlineMs: 1200,
    credit: [0, 0],
  };
}

const GLENBRAE = {
  services: ["fleet-desk", "hire-book", "cold-trace"].map((name) => ({
    name,
    targets: 8,
    slots: 4,
  })),
  zones: 4,
  zoneLatencyMs: 0.9,
  randomGray: { share: 0.3, meanMs: 12_000, failureRate: 0.85 },
  lengthMs: 32_000,
};

/** Kinds of request of the customer Holmgaard, at `share` of their full rate. */
const holmgaard = (share: number): RequestKind[] => [
  {
    name: "parcel-view",
    service: "listings",
    idempotent: true,
    priority: 2,
    perSecond: 19.9 * share,
    workMs: 350,
    objectiveMs: 1500,
    deadlineMs: 6000,
    credit: [1, 0.3],
    nestedCalls: { kind: "soil-lookup", count: 1, share: 0.7 },
  },
  {
    name: "lease-offer",
    service: "listings",
    idempotent: false,
    priority: 1,
    perSecond: 71.5 * share,
    workMs: 460,
    objectiveMs: 1500,
    deadlineMs: 5000,
    credit: [2, 0.6],
  },
  {
    name: "map-upload",
    service: "fieldmaps",
    idempotent: false,
    priority: 1,
    perSecond: 8.2 * share,
    workMs: 430,
    objectiveMs: 1500,
    deadlineMs: 12_000,
    credit: [2, 0.6],
  },
  { ...call("soil-lookup", "fieldmaps", 90), objectiveMs: 300 },
];

const HOLMGAARD = {
  services: [
    { name: "listings", targets: 18, slots: 5 },
    { name: "fieldmaps", targets: 6, slots: 5 },
  ],
  zones: 3,
  zoneLatencyMs: 0.5,
  randomGray: { share: 0.3, meanMs: 9000, failureRate: 0.85 },
  lengthMs: 32_000,
};

/** Part of the usual load that comes from the large workspace. */
const LARGE_SHARE = 0.2;

/** The other workspaces of the deployment in which workspaces compete. */
const SMALL_WORKSPACES = Array.from({ length: 73 }, (_, n) => `small-${n}`);

/**
 * Kinds of request of a third of the deployment in which workspaces compete, each apart for the large workspace, which
 * sends `factor` times its usual rate.
 */
function competingKinds(factor: number): RequestKind[] {
  const kinds: RequestKind[] = [
    {
      ...{ name: "lookup", service: "desk", idempotent: true, priority: 2, credit: [1, 0.3] },
      ...{ perSecond: 20.7, workMs: 450, objectiveMs: 1600, deadlineMs: 8000 },
      nestedCalls: { kind: "price-call", count: 1, share: 0.7 },
    },
    {
      ...{ name: "order", service: "orders", idempotent: false, priority: 1, credit: [2, 0.6] },
      ...{ perSecond: 42.7, workMs: 589, objectiveMs: 1600, deadlineMs: 10_000 },
    },
    {
      ...{ name: "read", service: "desk", idempotent: true, priority: 2, credit: [1, 0.3] },
      ...{ perSecond: 17.3, workMs: 1071, objectiveMs: 6200, deadlineMs: 20_000 },
    },
  ];
  const split = kinds.flatMap((kind) => [
    {
      ...kind,
      perSecond: kind.perSecond * (1 - LARGE_SHARE),
      workspaces: SMALL_WORKSPACES,
    },
    {
      ...kind,
      name: `${kind.name}-large`,
      perSecond: kind.perSecond * LARGE_SHARE * factor,
      workspaces: ["large"],
    },
  ]);
  return [...split, call("price-call", "orders", 107)];
}

const COMPETING = {
  services: [
    { name: "desk", targets: 15, slots: 6 },
    { name: "orders", targets: 10, slots: 6 },
  ],
  zones: 3,
  zoneLatencyMs: 0.5,
  randomGray: { share: 0.3, meanMs: 9000, failureRate: 0.9 },
  lengthMs: 32_000,
};

/** What differs between the two sizes of the lab: requests a second, and work times, objectives and deadlines in ms. */
interface LabSize {
  readonly perSecond: readonly [lookups: number, signoffs: number, reports: number];
  readonly workMs: readonly [lookups: number, signoffs: number, reports: number, calls: number];
  readonly objectiveMs: readonly [lookups: number, reports: number, calls: number];
  readonly deadlineMs: readonly [own: number, calls: number];
}

/** The lab's kinds of request for one size, at `share` of that size's rates. */
function labKinds(size: LabSize, share: number): RequestKind[] {
  const [lookups, signoffs, reports] = size.perSecond;
  const [lookupMs, signoffMs, reportMs, callMs] = size.workMs;
  const [objectiveMs, reportObjectiveMs, callObjectiveMs] = size.objectiveMs;
  const [deadlineMs, callDeadlineMs] = size.deadlineMs;
  const callTimes = { objectiveMs: callObjectiveMs, deadlineMs: callDeadlineMs };
  return [
    {
      name: "result-lookup",
      service: "results",
      idempotent: true,
      priority: 2,
      perSecond: lookups * share,
      workMs: lookupMs,
      objectiveMs,
      deadlineMs: Math.min(deadlineMs, 10_000),
      credit: [1, 0.1],
      nestedCalls: { kind: "sample-status", count: 2, share: 0.7 },
    },
    {
      name: "certificate-signoff",
      service: "certificates",
      idempotent: false,
      priority: 1,
      perSecond: signoffs * share,
      workMs: signoffMs,
      objectiveMs,
      deadlineMs,
      credit: [2, 0.2],
      nestedCalls: { kind: "report-index", count: 1, share: 0.7 },
    },
    {
      name: "trend-report",
      service: "reports",
      idempotent: true,
      priority: 2,
      perSecond: reports * share,
      workMs: reportMs,
      objectiveMs: reportObjectiveMs,
      deadlineMs,
      credit: [1, 0.1],
    },
    { ...call("sample-status", "certificates", callMs), ...callTimes },
    { ...call("report-index", "reports", callMs), ...callTimes },
  ];
}

/** The lab's kinds of request, at `share` of half their full rate. */
const lab = (share: number): RequestKind[] =>
  labKinds(
    {
      perSecond: [21, 73, 7.5],
      workMs: [1100, 860, 700, 210],
      objectiveMs: [4000, 4000, 850],
      deadlineMs: [12_000, 2600],
    },
    share,
  );

/** The lab at half its size, with few targets of the reports service, which sign-offs call. */
const LAB = {
  services: [
    { name: "results", targets: 14, slots: 7 },
    { name: "certificates", targets: 26, slots: 7 },
    { name: "reports", targets: 3, slots: 7 },
  ],
  zones: 4,
  zoneLatencyMs: 1.4,
  randomGray: { share: 0.3, meanMs: 9000, failureRate: 0.85 },
  lengthMs: 32_000,
};

/** The lab's kinds of request in a fleet of hundreds of VMs, at `share` of their full rate. */
const labLarge = (share: number): RequestKind[] =>
  labKinds(
    {
      perSecond: [111, 380, 38.7],
      workMs: [952, 752, 600, 190],
      objectiveMs: [4100, 2800, 900],
      deadlineMs: [10_000, 2250],
    },
    share,
  );

/** The lab with hundreds of VMs, few of which run the reports service, which sign-offs call. */
const LAB_LARGE = {
  retrySlack: 430,
  services: [
    { name: "results", targets: 78, slots: 6 },
    { name: "certificates", targets: 138, slots: 6 },
    { name: "reports", targets: 16, slots: 6 },
  ],
  zones: 6,
  zoneLatencyMs: 0.9,
  randomGray: { share: 0.3, meanMs: 9000, failureRate: 0.9 },
  lengthMs: 16_000,
};

/** Kinds of request of the second deployment of docs/design/hard-load.md. */
const uneven: readonly RequestKind[] = [
  unevenKind("views", "views", true, 21, [895, 4000, 20_000]),
  unevenKind("commands", "commands", false, 54, [676, 4000, 30_000]),
  unevenKind("summaries", "summaries", true, 23, [1714, 6000, 40_000]),
  unevenKind("exports", "summaries", true, 11, [2762, 8000, 60_000]),
];

function unevenKind(
  name: string,
  service: string,
  idempotent: boolean,
  perSecond: number,
  [workMs, objectiveMs, deadlineMs]: readonly [number, number, number],
): RequestKind {
  const times = { workMs, objectiveMs, deadlineMs };
  return { name, service, idempotent, priority: 1, perSecond, ...times, credit: [1, 0.3] };
}

/** That deployment, for long enough that its sidecars learn the distribution of the response times. */
const UNEVEN = {
  retrySlack: 58,
  services: [
    { name: "views", targets: 16, slots: 6 },
    { name: "commands", targets: 22, slots: 6 },
    { name: "summaries", targets: 36, slots: 6 },
  ],
  zones: 3,
  zoneLatencyMs: 4.4,
  kinds: uneven,
  lengthMs: 240_000,
};

/** The loads of the experiment: a light load for each fleet, and those under which most requests are lost. */
export const scenarios: readonly Scenario[] = [
  { ...GLENBRAE, name: "quiet", kinds: glenbrae(0.6) },
  { ...GLENBRAE, name: "busy", kinds: glenbrae(1) },
  {
    ...GLENBRAE,
    name: "burst",
    kinds: glenbrae(1),
    bursts: [{ fromMs: 10_000, durationMs: 5000, rateFactor: 1.7 }],
  },
  {
    // A configuration change routes all bookings to the fleet-desk targets, which already have their own load.
    ...GLENBRAE,
    name: "moved",
    kinds: glenbrae(0.6).map((k) =>
      k.name === "booking-confirm" ? { ...k, service: "fleet-desk" } : k,
    ),
  },
  {
    ...GLENBRAE,
    name: "gray majority",
    kinds: glenbrae(0.8),
    grayPeriods: [
      { service: "fleet-desk", count: 5, fromMs: 12_000, durationMs: 6000, failureRate: 0.85 },
      { service: "hire-book", count: 5, fromMs: 20_000, durationMs: 6000, failureRate: 0.85 },
    ],
  },
  {
    // Three of eight booking targets name a limit far below what they get; the others have room for the rest.
    ...GLENBRAE,
    name: "limits",
    kinds: glenbrae(0.8),
    randomGray: undefined,
    limits: [{ service: "hire-book", count: 3, fromMs: 8000, durationMs: 16_000, perS: 2 }],
  },
  {
    // All booking targets name a limit: together they take a third of the bookings and nested calls.
    ...GLENBRAE,
    name: "limits everywhere",
    kinds: glenbrae(0.8),
    randomGray: undefined,
    limits: [{ service: "hire-book", count: 8, fromMs: 8000, durationMs: 16_000, perS: 2 }],
  },
  { ...HOLMGAARD, name: "listings quiet", kinds: holmgaard(0.65) },
  { ...HOLMGAARD, name: "listings busy", kinds: holmgaard(1.2) },
  {
    ...HOLMGAARD,
    name: "listings burst",
    kinds: holmgaard(1.1),
    bursts: [{ fromMs: 10_000, durationMs: 4000, rateFactor: 1.6 }],
  },
  {
    // For 6 s, 11 of 18 targets fail a third of their requests; the other 7 do not have enough slots for the load.
    ...HOLMGAARD,
    name: "listings lossy",
    kinds: holmgaard(1),
    grayPeriods: [
      { service: "listings", count: 11, fromMs: 10_000, durationMs: 6000, failureRate: 0.35 },
    ],
  },
  { ...LAB, name: "lab quiet", kinds: lab(0.8) },
  {
    // A third of the sidecars is stopped one after another, and started again.
    ...LAB,
    name: "lab stops",
    kinds: lab(1),
    stops: [{ fromMs: 10_000, count: 16, intervalMs: 300 }],
  },
  { ...LAB_LARGE, name: "large quiet", kinds: labLarge(0.7) },
  { ...LAB_LARGE, name: "large busy", kinds: labLarge(1.1) },
  {
    // Some zones have twice as many callers as others, but no more targets.
    ...LAB_LARGE,
    name: "large uneven",
    zoneShares: [1.4, 0.7, 1, 1.3, 1.2, 0.6],
    kinds: labLarge(1),
  },
  { ...UNEVEN, name: "uneven" },
  {
    // A quarter of the targets of two services become slow, again and again, for a few seconds.
    ...UNEVEN,
    name: "uneven slow",
    grayPeriods: [180, 200, 220].flatMap((s) =>
      ["views", "summaries"].map((service) => ({
        service,
        count: service === "views" ? 4 : 9,
        fromMs: s * 1000,
        durationMs: 6000,
        failureRate: 0,
        slowdown: 6,
      })),
    ),
  },
  {
    // A third of the targets is removed, so that the healthy ones have fewer slots than the load needs.
    ...HOLMGAARD,
    name: "listings short",
    services: [
      { name: "listings", targets: 13, slots: 5 },
      { name: "fieldmaps", targets: 5, slots: 5 },
    ],
    kinds: holmgaard(1.1),
  },
  { name: "competing usual", ...COMPETING, kinds: competingKinds(1) },
  { name: "competing", ...COMPETING, kinds: competingKinds(4) },
  { name: "competing large", ...COMPETING, kinds: competingKinds(7.5) },
];
