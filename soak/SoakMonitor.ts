import type { ConfigSample, ReadinessSample, ResourceSample } from "./History.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import { SOAK_WORKSPACES } from "./SOAK_WORKSPACES.ts";
import { changePath } from "./soakDocument.ts";

/** Interval between probes of one sidecar, ms. */
const PROBE_INTERVAL_MS = 500;

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
    const isReady = (await getStatus(this.#fleet.adminPort(vm), "/ready")) === 200;
    this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? 0) + 1);
    const incarnation = this.#fleet.incarnation(vm);
    // The version before the newest is probed too: a process that has had the newest must not go back to it.
    const probes = this.#operator.accepted.slice(0, 2).map(async ({ change, version }) => {
      const sentAt = this.#fleet.now;
      const status = await getStatus(
        this.#fleet.callerPort(vm),
        `${changePath(change)}look?bytes=0`,
      );
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
    this.readinessSamples.push({ at, via: vm, isReady, isAnswered: answered.some((a) => a) });
  }
}

/** Returns the status of a response over a new connection; undefined if there is no response. */
async function getStatus(port: number, path: string): Promise<number | undefined> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: {
        connection: "close",
        authorization: `Bearer ${SOAK_WORKSPACES.monitorKey}`,
      },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.status;
  } catch {
    return undefined;
  }
}
