import type { WorkspaceName } from "../../../common/ids/WorkspaceName.ts";
import type { Clock } from "../../../common/lifecycle/Clock.ts";
import type { HolderReply } from "../../../common/rpc/HolderReply.ts";
import type { Credit } from "../Credit.ts";
import type { CreditClient } from "../CreditClient.ts";
import type { CreditResult } from "../CreditResult.ts";
import type { HolderRanking } from "./HolderRanking.ts";
import type { QuotaHolder } from "./QuotaHolder.ts";

/** Time without a reply after which the next sidecar is asked, ms; a round trip between zones takes 9. */
const SILENCE_MS = 60;

/** Time for which a sidecar that has not replied is not asked, ms. */
const SILENT_MS = 1000;

/** Most sidecars that are asked for one credit. */
const MAX_ASKED = 4;

/** Time for which single credits are used once a holder has said that the voters grant these, ms. */
const SINGLE_MS = 1000;

/** `Retry-After` while no sidecar can grant a credit and none says how long, ms. */
const RETRY_MS = 500;

interface LeasedCreditsDeps {
  /** Asks the sidecar at `address` for a credit; rejects without a reply. */
  readonly ask: (address: string, workspace: string) => Promise<HolderReply>;
  /** Returns a credit that is not used to the sidecar that granted it. */
  readonly giveBack: (address: string, workspace: string, grant: string) => void;
  readonly holder: Pick<QuotaHolder, "take" | "putBack">;
  readonly ranking: HolderRanking;
  /** Address of this sidecar. */
  readonly address: string;
  /** Takes single credits where control grants no leases. */
  readonly singles: Pick<CreditClient, "take">;
  readonly clock: Clock;
}

/** A reply that has not arrived in time; it becomes undefined if it never does. */
interface LateReply {
  readonly address: string;
  readonly reply: Promise<HolderReply | undefined>;
}

/** The search for a credit of one request. */
interface Search {
  readonly asked: Set<string>;
  readonly late: LateReply[];
}

/** Takes credits of workspaces with a quota from their quota holders; see {@link QuotaHolder}. */
export class LeasedCredits {
  readonly #deps: LeasedCreditsDeps;
  /** Sidecars that did not reply: how often in a row, and until when they are avoided, ms. */
  readonly #silent = new Map<string, { readonly times: number; readonly until: number }>();
  /** The sidecar that granted the last credit of each workspace. */
  readonly #holders = new Map<string, string>();
  /** Until when workspaces have no credit left, ms. */
  readonly #exhaustedUntil = new Map<string, number>();
  /** Until when workspaces use single credits, ms. */
  readonly #singleUntil = new Map<string, number>();

  constructor(deps: LeasedCreditsDeps) {
    this.#deps = deps;
  }

  /** Takes a credit for one request of `workspace`. */
  async take(workspace: WorkspaceName): Promise<CreditResult> {
    const now = this.#deps.clock.now();
    if ((this.#singleUntil.get(workspace) ?? 0) > now) {
      return this.#deps.singles.take(workspace);
    }
    const waitMs = (this.#exhaustedUntil.get(workspace) ?? 0) - now;
    return waitMs > 0 ? { kind: "exhausted", retryAfterMs: waitMs } : this.#search(workspace);
  }

  async #search(workspace: WorkspaceName): Promise<CreditResult> {
    const search: Search = { asked: new Set(), late: [] };
    const result = await this.#takeFrom(workspace, search, undefined);
    this.#giveBackLate(workspace, search.late);
    return result;
  }

  /**
   * Asks the sidecars one after another, first the one that the last has named as the holder. While the voters refuse to
   * lease, a sidecar names itself: asking more of them would divide the leases among them later.
   */
  async #takeFrom(
    workspace: WorkspaceName,
    search: Search,
    named: string | undefined,
    retryAfterMs = RETRY_MS,
  ): Promise<CreditResult> {
    const { asked } = search;
    const address = this.#next(workspace, asked, named);
    if (address === undefined) {
      return this.#takeLate(workspace, search, retryAfterMs);
    }
    asked.add(address);
    const reply = await this.#ask(address, workspace, search);
    switch (reply?.kind) {
      case "granted":
        this.#holders.set(workspace, address);
        return { kind: "granted", credit: this.#creditOf(address, workspace, reply.grant) };
      case "exhausted":
        this.#exhaustedUntil.set(workspace, this.#deps.clock.now() + reply.retryAfterMs);
        return reply;
      case "credits":
        this.#singleUntil.set(workspace, this.#deps.clock.now() + SINGLE_MS);
        return this.#deps.singles.take(workspace);
      case "unavailable":
        this.#forget(workspace, address);
        return reply.holder !== "" && !this.#mayAskNamed(reply.holder, asked)
          ? this.#takeLate(workspace, search, reply.retryAfterMs)
          : this.#takeFrom(workspace, search, reply.holder, reply.retryAfterMs);
      default:
        this.#forget(workspace, address);
        return this.#takeFrom(workspace, search, undefined, retryAfterMs);
    }
  }

  /** The sidecar to ask: the one that was named, the last holder, or the first in the ranking that is not silent. */
  #next(workspace: string, asked: Set<string>, named: string | undefined): string | undefined {
    if (asked.size >= MAX_ASKED) {
      return undefined;
    }
    if (named !== undefined && named !== "" && this.#mayAskNamed(named, asked)) {
      return named;
    }
    const ranked = this.#deps.ranking.of(workspace).slice(0, MAX_ASKED);
    const last = this.#holders.get(workspace);
    const candidates = [last, ...ranked.map((s) => s.address)];
    return candidates.find((a) => a !== undefined && this.#mayAsk(a, asked));
  }

  #mayAsk(address: string, asked: ReadonlySet<string>): boolean {
    const isSilent = (this.#silent.get(address)?.until ?? 0) > this.#deps.clock.now();
    return !asked.has(address) && !isSilent;
  }

  /** A holder that another sidecar has named is asked again if only one message to or from it may have been lost. */
  #mayAskNamed(address: string, asked: ReadonlySet<string>): boolean {
    return this.#mayAsk(address, asked) || this.#silent.get(address)?.times === 1;
  }

  /** Waits for the replies that have not arrived in time: a busy holder replies late, and no other can grant a credit. */
  async #takeLate(
    workspace: WorkspaceName,
    search: Search,
    retryAfterMs: number,
  ): Promise<CreditResult> {
    const late = search.late.splice(0);
    for (const { address, reply } of late) {
      const granted = await reply;
      if (granted?.kind === "granted") {
        this.#giveBackLate(workspace, late.slice(late.findIndex((l) => l.reply === reply) + 1));
        this.#holders.set(workspace, address);
        return { kind: "granted", credit: this.#creditOf(address, workspace, granted.grant) };
      }
    }
    return { kind: "unreachable", retryAfterMs };
  }

  /** Returns the credits that are granted too late. */
  #giveBackLate(workspace: string, late: readonly LateReply[]): void {
    for (const { address, reply } of late) {
      void reply.then((granted) => {
        if (granted?.kind === "granted") {
          this.#deps.giveBack(address, workspace, granted.grant);
        }
      });
    }
  }

  /** Undefined if there is no reply in time. */
  #ask(address: string, workspace: string, search: Search): Promise<HolderReply | undefined> {
    const { holder, ask, clock } = this.#deps;
    if (address === this.#deps.address) {
      return holder.take(workspace, true);
    }
    const reply = ask(address, workspace).then(
      (received) => {
        this.#silent.delete(address);
        return received;
      },
      () => undefined,
    );
    return new Promise((resolve) => {
      const timer = clock.timeout(SILENCE_MS, () => {
        const times = (this.#silent.get(address)?.times ?? 0) + 1;
        this.#silent.set(address, { times, until: clock.now() + SILENT_MS });
        search.late.push({ address, reply });
        resolve(undefined);
      });
      void reply.then((received) => {
        timer.cancel();
        resolve(received);
      });
    });
  }

  #forget(workspace: string, address: string): void {
    if (this.#holders.get(workspace) === address) {
      this.#holders.delete(workspace);
    }
  }

  #creditOf(address: string, workspace: string, grant: string): Credit {
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) {
          return;
        }
        isHeld = false;
        if (address === this.#deps.address) {
          this.#deps.holder.putBack(workspace, grant);
        } else {
          this.#deps.giveBack(address, workspace, grant);
        }
      },
    };
  }
}
