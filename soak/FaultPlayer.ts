import { FaultMode } from "../src/standin/FaultMode.ts";
import type { BlackoutRecord, Disturbance, LimitRecord, SlowRead, StopRecord } from "./History.ts";
import type { Rng } from "./createRng.ts";
import { readSlowly } from "./readSlowly.ts";
import { LinkMode } from "./LinkProxy.ts";
import { FATAL_REQUEST, type SoakFleet } from "./SoakFleet.ts";
import type { SoakAccounts } from "./SoakAccounts.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import { FaultKind, type PlannedFault, type SoakPlan } from "./SoakPlan.ts";

/** Interval between the copies of a request that ends its targets, ms. */
const FATAL_INTERVAL_MS = 400;

/** Interval between the signals of a repeated stop, ms. */
const SIGNAL_GAP_MS = 300;

/**
 * A disturbance lasts this much longer than its fault, ms: the fleet needs the time to detect lost connections and to
 * open new ones.
 */
const RECOVERY_MS = 1000;

/** Time after a disturbance of a control replica until its disk counts as filled again, ms: the users' bound. */
const DISK_RECOVERY_MS = 6000;

/** The limit that targets name, requests a second: a small part of what they get otherwise. */
const LIMIT_PER_S = 2.5;

const LIMIT_HEADER = "x-burdockpass-limit";

const TARGET_MODES: Readonly<Partial<Record<FaultKind, FaultMode>>> = {
  [FaultKind.TargetGray]: FaultMode.Gray,
  [FaultKind.TargetSheds]: FaultMode.Shedding,
  [FaultKind.TargetSlow]: FaultMode.Slow,
  [FaultKind.TargetResponseLost]: FaultMode.ResponseLost,
  [FaultKind.TargetTruncates]: FaultMode.Truncate,
  [FaultKind.TargetSilent]: FaultMode.Silent,
};

/** The bytes that targets send without end. A body is left out: its start is passed on before it turns out to be endless. */
const ENDLESS_MODES = [
  FaultMode.EndlessInterim,
  FaultMode.EndlessHeaders,
  FaultMode.EndlessEmptyLines,
  FaultMode.EndlessStatusLine,
  FaultMode.EndlessTrailers,
  FaultMode.EndlessChunkExtension,
];

/** Number of slow readers that one fault adds, and the bytes that each requests: more than the kernel buffers. */
const SLOW_READERS = 2;
const SLOW_READER_BYTES = 20_000_000;

const LINK_MODES: Readonly<Partial<Record<FaultKind, LinkMode>>> = {
  [FaultKind.LinkDelay]: LinkMode.Delay,
  [FaultKind.LinkCut]: LinkMode.Cut,
  [FaultKind.LinkOneWay]: LinkMode.OneWay,
  [FaultKind.LinkLossy]: LinkMode.Lossy,
};

const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Injects a schedule of faults into a fleet, from outside, and records which process was affected and when. */
export class FaultPlayer {
  readonly slowReads: SlowRead[] = [];
  readonly #fleet: SoakFleet;
  readonly #operator: SoakOperator;
  readonly #accounts: SoakAccounts;
  readonly #rng: Rng;
  readonly stops: StopRecord[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly drains: { target: string; at: number }[] = [];
  readonly limits: LimitRecord[] = [];
  readonly blackouts: BlackoutRecord[] = [];
  readonly leavings: { target: string; at: number }[] = [];
  /** By process: its latest stop or restart. Other faults that hit it meanwhile are injected without waiting. */
  readonly #restarts = new Map<string, Promise<void>>();
  #fatalRequests = 0;
  /** Time after its SIGTERM at which a process that is still there is killed, ms; undefined to wait. */
  #killMs: number | undefined;
  /** Headers that targets add to their responses. */
  readonly #headers = new Map<string, Readonly<Record<string, string | undefined>>>();

  constructor(fleet: SoakFleet, operator: SoakOperator, accounts: SoakAccounts, rng: Rng) {
    this.#rng = rng;
    this.#fleet = fleet;
    this.#operator = operator;
    this.#accounts = accounts;
    fleet.onTargetEnded = (vm, restarted) => {
      this.#headers.delete(vm);
      void restarted.then(this.#beginDisturbance(vm, "target ended"));
    };
  }

  /**
   * Injects all faults at their times; resolves once the last one is over, every process runs again, and every document
   * change has its outcome.
   */
  async play({ faults, killMs }: SoakPlan): Promise<void> {
    this.#killMs = killMs;
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(fault.atS * 1000 - this.#fleet.now);
        await this.#playOne(fault);
      }),
    );
    await Promise.all(this.#restarts.values());
    await this.#operator.waitForPending();
  }

  async #playOne(fault: PlannedFault): Promise<void> {
    const { kind, on, forS } = fault;
    const mode = TARGET_MODES[kind];
    const link = LINK_MODES[kind];
    if (mode !== undefined) {
      await this.#faultTarget(on, kind, mode, forS);
    } else if (link !== undefined) {
      await this.#faultLink(on, kind, link, forS);
    } else {
      await this.#playOther(fault);
    }
  }

  async #playOther({ kind, on, forS }: PlannedFault): Promise<void> {
    switch (kind) {
      case FaultKind.TargetKill:
        this.#fleet.killTarget(on);
        return;
      case FaultKind.TargetEndless:
        await this.#faultTarget(on, kind, this.#rng.pick(ENDLESS_MODES), forS);
        return;
      case FaultKind.SlowReaders:
        await Promise.all(Array.from({ length: SLOW_READERS }, () => this.#readSlowly(on, forS)));
        return;
      case FaultKind.TargetLimit:
        await this.#limitTarget(on, forS);
        return;
      case FaultKind.TargetLeaving:
        if (await this.#setHeaders(on, { "x-burdockpass-leaving": "1" })) {
          this.leavings.push({ target: on, at: this.#fleet.now });
          this.disturbances.push({ on, kind, from: this.#fleet.now, until: Infinity });
        }
        return;
      case FaultKind.FatalRequest:
        await this.#sendFatalRequests(on, forS);
        return;
      case FaultKind.HotWorkspace:
        await this.#accounts.exceedQuota(forS * 1000);
        return;
      case FaultKind.Config:
        void this.#operator.applyNext();
        return;
      case FaultKind.Blackout:
        await this.#blackOut(on, forS);
        return;
      case FaultKind.TargetDrains:
        await this.#fleet.drain(on);
        this.drains.push({ target: on, at: this.#fleet.now });
        this.disturbances.push({ on, kind, from: this.#fleet.now, until: Infinity });
        return;
      case FaultKind.LinkReset:
        this.#recordDisturbance(on, kind, 0);
        this.#fleet.links(on).forEach((link) => {
          link.reset();
        });
        return;
      case FaultKind.Reload:
        this.#fleet.signal(on, "SIGHUP");
        return;
      case FaultKind.Freeze:
        await this.#freeze(on, kind, forS);
        return;
      case FaultKind.Kill:
      case FaultKind.Wipe:
        await this.#runExclusive(on, () => this.#kill(on, kind, forS));
        return;
      case FaultKind.StopTwice:
      case FaultKind.PlannedStop:
        await this.#runExclusive(on, () => this.#stop(on, kind));
    }
  }

  /** Runs the actions that end and restart a process one at a time. */
  async #runExclusive(on: string, action: () => Promise<void>): Promise<void> {
    const previous = this.#restarts.get(on);
    const next = (previous ?? Promise.resolve()).then(action);
    this.#restarts.set(on, next);
    await next;
  }

  async #faultTarget(on: string, kind: string, mode: FaultMode, forS: number): Promise<void> {
    const end = this.#beginDisturbance(on, kind);
    await this.#fleet.setFault(on, mode);
    await sleep(forS * 1000);
    await this.#fleet.setFault(on, FaultMode.None);
    end();
  }

  /** Makes a target name a limit; one that restarts meanwhile no longer does. */
  async #limitTarget(on: string, forS: number): Promise<void> {
    if (this.#headers.get(on)?.[LIMIT_HEADER] !== undefined) {
      return;
    }
    const end = this.#beginDisturbance(on, FaultKind.TargetLimit);
    const isNamed = await this.#setHeaders(on, { [LIMIT_HEADER]: String(LIMIT_PER_S) });
    const limit = { target: on, perS: LIMIT_PER_S, from: this.#fleet.now, until: Infinity };
    if (isNamed) {
      this.limits.push(limit);
    }
    await sleep(forS * 1000);
    limit.until = this.#fleet.now;
    await this.#setHeaders(on, { [LIMIT_HEADER]: undefined });
    end();
  }

  /** Adds headers to a target's responses, or removes undefined ones; resolves with whether it did. */
  #setHeaders(on: string, change: Readonly<Record<string, string | undefined>>): Promise<boolean> {
    const headers = { ...this.#headers.get(on), ...change };
    this.#headers.set(on, headers);
    return this.#fleet.setHeaders(on, headers);
  }

  /** Sends a request that ends every target of the VM's service, through one sidecar after the other. */
  async #sendFatalRequests(on: string, forS: number): Promise<void> {
    const service = on.split("-")[0] ?? "";
    const name = `${FATAL_REQUEST}${++this.#fatalRequests}`;
    const init = service === "bookings" ? { method: "POST", body: "{}" } : {};
    const until = this.#fleet.now + forS * 1000;
    for (let n = 0; this.#fleet.now < until; n++) {
      const via = this.#fleet.vms[n % this.#fleet.vms.length] ?? "";
      const url = `http://127.0.0.1:${this.#fleet.callerPort(via)}/${service}/${name}`;
      const headers = { "x-caller-tag": `${name}.${n}` };
      // The response does not matter, nor does it if the sidecar is down.
      void fetch(url, { ...init, headers }).then(
        (res) => res.arrayBuffer(),
        () => undefined,
      );
      await sleep(FATAL_INTERVAL_MS);
    }
  }

  async #readSlowly(on: string, forS: number): Promise<void> {
    const from = this.#fleet.now;
    const port = this.#fleet.callerPort(on);
    const path = `/ledger/slow-reader?bytes=${SLOW_READER_BYTES}`;
    const read = await readSlowly(port, path, forS * 1000);
    this.slowReads.push({ via: on, from, until: this.#fleet.now, ...read });
  }

  async #faultLink(on: string, kind: string, mode: LinkMode, forS: number): Promise<void> {
    const end = this.#beginDisturbance(on, kind);
    const links = this.#fleet.links(on);
    links.forEach((link) => {
      link.mode = mode;
    });
    await sleep(forS * 1000);
    links.forEach((link) => {
      link.mode = LinkMode.Open;
      if (mode === LinkMode.Cut || mode === LinkMode.OneWay) {
        // Bytes that were dropped leave a gap in the streams, so the connections are unusable.
        link.reset();
      }
    });
    end();
  }

  async #freeze(on: string, kind: string, forS: number): Promise<void> {
    const end = this.#beginDisturbance(on, kind);
    this.#fleet.signal(on, "SIGSTOP");
    await sleep(forS * 1000);
    this.#fleet.signal(on, "SIGCONT");
    end();
  }

  async #kill(on: string, kind: FaultKind, forS: number): Promise<void> {
    const end = this.#beginDisturbance(on, kind);
    const exited = this.#fleet.waitForExit(on);
    this.#fleet.signal(on, "SIGKILL");
    await exited;
    await sleep(forS * 1000);
    await this.#fleet.restart(on, kind === FaultKind.Wipe);
    end();
  }

  /** Kills all processes right after a change was accepted; those that are being stopped or restarted, too. */
  async #blackOut(emptied: string, forS: number): Promise<void> {
    const applied = await this.#operator.applyNext();
    if (applied?.outcome !== "accepted") {
      return;
    }
    this.blackouts.push({ at: this.#fleet.now, version: applied.version });
    const wiped = this.#mayLoseDisks ? this.#minorityWith(emptied) : [];
    await Promise.all(
      this.#fleet.daemons.map(async (on) => {
        const end = this.#beginDisturbance(on, FaultKind.Blackout);
        this.#fleet.signal(on, "SIGKILL");
        await this.#runExclusive(on, async () => {
          // A stop or restart that was in progress has started it again, before the power is back.
          this.#fleet.signal(on, "SIGKILL");
          await this.#fleet.waitForExit(on);
          await sleep(this.#rng.between(0, forS) * 1000);
          await this.#fleet.restart(on, wiped.includes(on));
        });
        end();
      }),
    );
  }

  /** Whether no control replica was disturbed recently, so that a minority of them may lose their disks. */
  get #mayLoseDisks(): boolean {
    const from = this.#fleet.now - DISK_RECOVERY_MS;
    return !this.disturbances.some((d) => this.#fleet.isControl(d.on) && d.until > from);
  }

  /** As many control replicas as may lose their disks at once, `first` among them; none if that is empty. */
  #minorityWith(first: string): string[] {
    const controls = this.#fleet.daemons.filter((name) => this.#fleet.isControl(name));
    const others = controls.filter((name) => name !== first);
    return first === "" ? [] : [first, ...others].slice(0, Math.floor((controls.length - 1) / 2));
  }

  async #stop(on: string, kind: FaultKind): Promise<void> {
    const at = this.#fleet.now;
    const exited = this.#fleet.waitForExit(on);
    this.#fleet.signal(on, "SIGTERM");
    const killTimer =
      this.#killMs === undefined
        ? undefined
        : setTimeout(() => {
            this.#fleet.signal(on, "SIGKILL");
          }, this.#killMs);
    if (kind === FaultKind.StopTwice) {
      for (const signal of ["SIGHUP", "SIGTERM"] as const) {
        await sleep(SIGNAL_GAP_MS);
        this.#fleet.signal(on, signal);
      }
    }
    const code = await exited;
    clearTimeout(killTimer);
    if (!this.blackouts.some((b) => b.at >= at)) {
      this.stops.push({ on, at, endedAt: this.#fleet.now, code });
    }
    const end = this.#beginDisturbance(on, "down");
    await this.#fleet.restart(on, false);
    end();
  }

  /** Records a disturbance that starts now; returns the function that ends it. */
  #beginDisturbance(on: string, kind: string): () => void {
    const from = this.#fleet.now;
    const disturbance = { on, kind, from, until: Infinity };
    this.disturbances.push(disturbance);
    return () => {
      disturbance.until = this.#fleet.now + RECOVERY_MS;
    };
  }

  #recordDisturbance(on: string, kind: string, forMs: number): void {
    const from = this.#fleet.now;
    this.disturbances.push({ on, kind, from, until: from + forMs + RECOVERY_MS });
  }
}
