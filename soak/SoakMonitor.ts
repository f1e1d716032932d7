import type { ConfigSample, ReadinessSample, ResourceSample } from "./History.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import { changePath } from "./soakDocument.ts";

/** How often each process is looked at, ms; callers are sent elsewhere after two misses. */
const PROBE_INTERVAL_MS = 500;
const MAX_MISSES = 2;

/** How long a look may take, ms. */
const PROBE_TIMEOUT_MS = 1000;

/** How often what processes use is read, ms. */
const RESOURCE_INTERVAL_MS = 2000;

/** What a load balancer and the operators' own checks see: who is ready, who answers, and which document is in force. */
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

  /** Callers may be sent to the sidecar beside `vm`. */
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

  #every(ms: number, act: () => Promise<void>): void {
    this.#timers.push(setInterval(() => void act(), ms));
  }

  async #probe(vm: string): Promise<void> {
    const at = this.#fleet.now;
    const isReady = (await getStatus(this.#fleet.adminPort(vm), "/ready")) === 200;
    this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? 0) + 1);
    const life = this.#fleet.incarnation(vm);
    // The one before the newest too: whoever has had the newest must not have that one any more.
    const looks = this.#operator.accepted.slice(0, 2).map(async ({ change, version }) => {
      const askedAt = this.#fleet.now;
      const status = await getStatus(
        this.#fleet.callerPort(vm),
        `${changePath(change)}look?bytes=0`,
      );
      const isSame = life === this.#fleet.incarnation(vm);
      if (status !== undefined && status !== 503 && isSame) {
        this.configSamples.push({ at: askedAt, via: vm, life, version, isThere: status !== 404 });
      }
      return status !== undefined;
    });
    const answered = await Promise.all(looks);
    this.readinessSamples.push({ at, via: vm, isReady, isAnswered: answered.some((a) => a) });
  }
}

/** Status of an answer over a connection of its own; undefined for none. */
async function getStatus(port: number, path: string): Promise<number | undefined> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: { connection: "close" },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.status;
  } catch {
    return undefined;
  }
}
