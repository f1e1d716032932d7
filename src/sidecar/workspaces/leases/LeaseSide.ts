import type bunyan from "bunyan";
import type { OperatorDocument } from "../../../common/document/OperatorDocument.ts";
import type { Clock } from "../../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../../common/lifecycle/IDisposable.ts";
import { holderReplyCodec } from "../../../common/rpc/holderReplyCodec.ts";
import { leaseCodec } from "../../../common/rpc/leaseCodec.ts";
import type { ProtoTypes } from "../../../common/rpc/ProtoTypes.ts";
import type { DatagramLink } from "../../../membership/DatagramLink.ts";
import type { TargetTable } from "../../../membership/TargetTable.ts";
import type { CreditClient } from "../CreditClient.ts";
import { HolderRanking } from "./HolderRanking.ts";
import type { LeaseEvent } from "./LeaseEvent.ts";
import { LeasedCredits } from "./LeasedCredits.ts";
import { LiveSidecars } from "./LiveSidecars.ts";
import { QuotaHolder } from "./QuotaHolder.ts";
import { QuotaLookup } from "./QuotaLookup.ts";

/** Numbers of processes are below this, as a 64-bit integer of a message is read as a double. */
const PROCESS_NUMBERS = 2 ** 48;

interface LeaseSideDeps {
  readonly table: Pick<TargetTable, "own" | "liveMembers">;
  readonly link: Pick<
    DatagramLink,
    "askLease" | "releaseLease" | "askCredit" | "returnLeasedCredit"
  >;
  /** The document in force. */
  readonly document: () => OperatorDocument | undefined;
  /** Addresses of the control replicas. */
  readonly replicas: () => readonly string[];
  readonly singles: Pick<CreditClient, "take">;
  readonly termMs: number;
  readonly clock: Clock;
  readonly elapsed: () => number;
  readonly random: () => number;
  readonly onEvent: (event: LeaseEvent) => void;
  readonly log: Pick<bunyan, "info" | "warn">;
}

/** The parts of a sidecar that use leases of quotas: as a quota holder, and to take credits from other holders. */
export class LeaseSide implements IDisposable {
  readonly credits: LeasedCredits;
  readonly #holder: QuotaHolder;

  constructor(deps: LeaseSideDeps) {
    const { table, link, document, random } = deps;
    const address = table.own.peer_address;
    const sidecars = new LiveSidecars(table);
    const ranking = new HolderRanking(() => sidecars.list);
    const quotas = new QuotaLookup(document);
    this.#holder = new QuotaHolder({
      ...deps,
      ask: async (voter, ask) =>
        leaseCodec.decodeReply(await link.askLease(voter, leaseCodec.encodeAsk(ask))),
      release: (voter, release) => {
        link.releaseLease(voter, leaseCodec.encodeRelease(release));
      },
      ranking,
      quotaOf: (workspace) => quotas.of(workspace),
      address,
      process: 1 + Math.floor(random() * PROCESS_NUMBERS),
    });
    this.credits = new LeasedCredits({
      ...deps,
      ask: async (holder, workspace) =>
        holderReplyCodec.decode(await link.askCredit(holder, workspace)),
      giveBack: (holder, workspace, grant) => {
        link.returnLeasedCredit(holder, workspace, grant);
      },
      holder: this.#holder,
      ranking,
      address,
    });
  }

  /** Replies to another sidecar's request for a credit. */
  async onCreditAsk({ workspace }: ProtoTypes["CreditAsk"]): Promise<ProtoTypes["Credit"]> {
    return holderReplyCodec.encode(await this.#holder.take(workspace, false));
  }

  /** Takes back a credit that another sidecar has not used. */
  onCreditReturned({ workspace, returned }: ProtoTypes["CreditAsk"]): void {
    this.#holder.putBack(workspace, returned);
  }

  /** Releases all leases, and obtains no more: this sidecar is stopping. */
  stop(): void {
    this.#holder.stop();
  }

  dispose(): void {
    this.#holder.dispose();
  }

  /** Number of leases in force. */
  get leases(): number {
    return this.#holder.leases;
  }

  /** The workspaces whose quota this sidecar holds, for `/status`. */
  describe(): ReturnType<QuotaHolder["describe"]> {
    return this.#holder.describe();
  }
}
