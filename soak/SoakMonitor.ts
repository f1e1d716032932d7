import type { ConfigSample, MovedSample, ReadinessSample, ResourceSample } from "./History.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import { SOAK_WORKSPACES } from "./SOAK_WORKSPACES.ts";
import { changePath, MOVED_PATH } from "./soakDocument.ts";

/** Interval between probes of one sidecar, ms. */
const PROBE_INTERVAL_MS = 500;

/** Interval between requests on the moved route at a sidecar that isn't ready, ms: it is starting, and holds requests. */
const STARTING_INTERVAL_MS = 100;

/** Failed readiness probes in a row after which callers are sent elsewhere. */
const MAX_MISSES = 2;

/** Timeout of one probe's request, ms. */
const PROBE_TIMEOUT_MS = 1000;

/** Interval between samples of the processes' resource use, ms. */
const RESOURCE_INTERVAL_MS = 2000;

/**
 * Observes the fleet as a load balancer and the operators' own checks do: which sidecars are ready, which respond, and
 * which document version is in force.
 */
export class SoakMonitor {
  readonly #fleet: SoakFleet;
  readonly #operator: SoakOperator;
  readonly #misses = new Map<string, number>();
  readonly #timers: NodeJS.Timeout[] = [];
  readonly readinessSamples: ReadinessSample[] = [];
  readonly configSamples: ConfigSample[] = [];
  readonly movedSamples: MovedSample[] = [];
  readonly resourceSamples: ResourceSample[] = [];

  constructor(fleet: SoakFleet, operator: SoakOperator) {
    this.#fleet = fleet;
    this.#operator = operator;
  }

  /** Whether callers may be sent to the sidecar on `vm`. */
  isReady(vm: string): boolean {
    return (this.#misses.get(vm) ?? 0) < MAX_MISSES;
  }

  start(): void {
    for (const vm of this.#fleet.vms) {
      this.#every(PROBE_INTERVAL_MS, () => this.#probe(vm));
      this.#every(STARTING_INTERVAL_MS, async () => {
        if (this.#misses.get(vm)) {
          await this.#probeMoved(vm);
        }
      });
    }
    this.#every(RESOURCE_INTERVAL_MS, () => {
      this.resourceSamples.push(...this.#fleet.sampleResources());
      return Promise.resolve();
    });
  }

  stop(): void {
    this.#timers.forEach((timer) => {
      clearInterval(timer);
    });
  }

  #every(ms: number, action: () => Promise<void>): void {
    this.#timers.push(setInterval(() => void action(), ms));
  }

  /** Samples whether a sidecar is ready and responds, and which of the two newest documents it has in force. */
  async #probe(vm: string): Promise<void> {
    const at = this.#fleet.now;
    const isReady = (await get(this.#fleet.adminPort(vm), "/ready"))?.status === 200;
    this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? 0) + 1);
    const incarnation = this.#fleet.incarnation(vm);
    // The version before the newest is probed too: a process that has had the newest must not go back to it.
    const probes = this.#operator.accepted.slice(0, 2).map(async ({ change, version }) => {
      const sentAt = this.#fleet.now;
      const port = this.#fleet.callerPort(vm);
      const path = `${changePath(change)}look?bytes=0`;
      const status = (await get(port, path, SOAK_WORKSPACES.monitorKey))?.status;
      // A restart in between would attribute the response to the wrong incarnation.
      const isSame = incarnation === this.#fleet.incarnation(vm);
      if (status !== undefined && status !== 503 && isSame) {
        this.configSamples.push({
          at: sentAt,
          via: vm,
          life: incarnation,
          version,
          isThere: status !== 404,
        });
      }
      return status !== undefined;
    });
    const answered = await Promise.all(probes);
    await this.#probeMoved(vm);
    this.readinessSamples.push({ at, via: vm, isReady, isAnswered: answered.some((a) => a) });
  }

  /** Samples which service runs requests on the route that moves; they have no key, since that is checked separately. */
  async #probeMoved(vm: string): Promise<void> {
    const at = this.#fleet.now;
    const res = await get(this.#fleet.callerPort(vm), `${MOVED_PATH}look?bytes=0`);
    if (res?.status === 200) {
      const { service } = JSON.parse(res.body) as { service: string };
      this.movedSamples.push({ at, via: vm, service });
    }
  }
}

let probeCount = 0;

/** Returns a response over a new connection; undefined if there is none. */
async function get(
  port: number,
  path: string,
  key?: string,
): Promise<{ status: number; body: string } | undefined> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: {
        connection: "close",
        // Each has a tag of its own, so that it does not count as a repeat of another.
        "x-caller-tag": `probe-${++probeCount}`,
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    return { status: res.status, body: await res.text() };
  } catch {
    return undefined;
  }
}
