import type { ConfigLook, ReadyLook, UseRecord } from "./History.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import { versionPath } from "./soakDocument.ts";

/** How often each process is looked at, ms; callers are sent elsewhere after two misses. */
const EVERY_MS = 500;
const MISSES = 2;

/** How long a look may take, ms. */
const LOOK_TIMEOUT_MS = 1000;

/** How often what processes use is read, ms. */
const USES_EVERY_MS = 2000;

/** What a load balancer and the operators' own checks see: who is ready, who answers, and which document is in force. */
export class SoakWatch {
  readonly #fleet: SoakFleet;
  readonly #operator: SoakOperator;
  readonly #misses = new Map<string, number>();
  readonly #timers: NodeJS.Timeout[] = [];
  readonly ready: ReadyLook[] = [];
  readonly configs: ConfigLook[] = [];
  readonly uses: UseRecord[] = [];

  constructor(fleet: SoakFleet, operator: SoakOperator) {
    this.#fleet = fleet;
    this.#operator = operator;
  }

  /** Callers may be sent to the sidecar beside `vm`. */
  isReady(vm: string): boolean {
    return (this.#misses.get(vm) ?? 0) < MISSES;
  }

  start(): void {
    for (const vm of this.#fleet.vms) {
      this.#every(EVERY_MS, () => this.#look(vm));
    }
    this.#every(USES_EVERY_MS, () => {
      this.uses.push(...this.#fleet.uses());
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

  async #look(vm: string): Promise<void> {
    const at = this.#fleet.now;
    const isReady = (await get(this.#fleet.adminPort(vm), "/ready")) === 200;
    this.#misses.set(vm, isReady ? 0 : (this.#misses.get(vm) ?? 0) + 1);
    const life = this.#fleet.life(vm);
    // The one before the newest too: whoever has had the newest must not have that one any more.
    const looks = this.#operator.accepted.slice(0, 2).map(async ({ change, version }) => {
      const askedAt = this.#fleet.now;
      const status = await get(this.#fleet.callerPort(vm), `${versionPath(change)}look?bytes=0`);
      const isSame = life === this.#fleet.life(vm);
      if (status !== undefined && status !== 503 && isSame) {
        this.configs.push({ at: askedAt, via: vm, life, version, isThere: status !== 404 });
      }
      return status !== undefined;
    });
    const answered = await Promise.all(looks);
    this.ready.push({ at, via: vm, isReady, isAnswered: answered.some((a) => a) });
  }
}

/** Status of an answer over a connection of its own; undefined for none. */
async function get(port: number, path: string): Promise<number | undefined> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: { connection: "close" },
      signal: AbortSignal.timeout(LOOK_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.status;
  } catch {
    return undefined;
  }
}
