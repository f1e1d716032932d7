import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { AdmissionReply } from "../../common/rpc/AdmissionReply.ts";
import type { Credit } from "./Credit.ts";
import type { CreditResult } from "./CreditResult.ts";

/** Time without a reply after which the next replica is asked, ms; a round trip between zones takes 3. */
const SILENCE_MS = 60;

/** Time for which a replica that has not replied is asked only if all others have no credit either, ms. */
const SILENT_MS = 1000;

/** `Retry-After` while no replica can grant a credit, ms: the control group elects a leader within two seconds. */
const UNREACHABLE_RETRY_MS = 500;

interface CreditClientDeps {
  /** Asks the control replica at `address` for a credit; rejects without a reply. */
  readonly ask: (address: string, workspace: string) => Promise<AdmissionReply>;
  /** Returns a credit that is not used to the replica that granted it. */
  readonly giveBack: (address: string, workspace: string) => void;
  /** Addresses of the control replicas, the nearest first. */
  readonly replicas: () => readonly string[];
  readonly clock: Clock;
}

/**
 * Takes credits for requests of workspaces with a quota. Each control replica grants a part of every quota, so that the
 * nearest one usually has a credit; when its part is used up, the others are asked in turn.
 */
export class CreditClient {
  readonly #deps: CreditClientDeps;
  /** Until when replicas that did not reply are avoided, ms, by address. */
  readonly #silentUntil = new Map<string, number>();
  /** Until when replicas have no credit, ms, by workspace and address. */
  readonly #exhaustedUntil = new Map<string, number>();

  constructor(deps: CreditClientDeps) {
    this.#deps = deps;
  }

  /** Takes a credit for one request of `workspace`. */
  async take(workspace: WorkspaceName): Promise<CreditResult> {
    for (const address of this.#candidates(workspace)) {
      const reply = await this.#ask(address, workspace);
      if (reply?.credit?.kind === "granted") {
        return { kind: "granted", credit: this.#creditOf(address, workspace) };
      }
      if (reply?.credit?.kind === "exhausted") {
        const until = this.#deps.clock.now() + reply.credit.retryAfterMs;
        this.#exhaustedUntil.set(keyOf(workspace, address), until);
      }
    }
    const retryAfterMs = this.#retryAfterMs(workspace);
    return retryAfterMs === undefined
      ? { kind: "unreachable", retryAfterMs: UNREACHABLE_RETRY_MS }
      : { kind: "exhausted", retryAfterMs };
  }

  /** The replicas that may have a credit. */
  #candidates(workspace: string): readonly string[] {
    const now = this.#deps.clock.now();
    return this.#deps.replicas().filter((address) => {
      const isExhausted = (this.#exhaustedUntil.get(keyOf(workspace, address)) ?? 0) > now;
      return !isExhausted && (this.#silentUntil.get(address) ?? 0) <= now;
    });
  }

  /** Time until the first replica has a credit again, ms; undefined if none is known to have run out of them. */
  #retryAfterMs(workspace: string): number | undefined {
    const now = this.#deps.clock.now();
    const waits = this.#deps.replicas().flatMap((address) => {
      const key = keyOf(workspace, address);
      const until = this.#exhaustedUntil.get(key);
      if (until === undefined || until <= now) {
        this.#exhaustedUntil.delete(key);
        return [];
      }
      return [until - now];
    });
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }

  /** Undefined if there is no reply in time; a credit that is granted later is returned. */
  #ask(address: string, workspace: string): Promise<AdmissionReply | undefined> {
    const { ask, giveBack, clock } = this.#deps;
    return new Promise((resolve) => {
      let isLate = false;
      const timer = clock.timeout(SILENCE_MS, () => {
        isLate = true;
        this.#silentUntil.set(address, clock.now() + SILENT_MS);
        resolve(undefined);
      });
      ask(address, workspace).then(
        (reply) => {
          timer.cancel();
          this.#silentUntil.delete(address);
          if (isLate && reply.credit?.kind === "granted") {
            giveBack(address, workspace);
          }
          resolve(reply);
        },
        () => {
          timer.cancel();
          resolve(undefined);
        },
      );
    });
  }

  #creditOf(address: string, workspace: string): Credit {
    let isHeld = true;
    return {
      release: () => {
        if (isHeld) {
          isHeld = false;
          this.#deps.giveBack(address, workspace);
        }
      },
    };
  }
}

function keyOf(workspace: string, address: string): string {
  return `${workspace}/${address}`;
}
