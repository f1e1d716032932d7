import type bunyan from "bunyan";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { MessageSizeListener } from "../../common/rpc/MessageSizeListener.ts";
import type { ControlReplica } from "./ControlReplica.ts";
import { ControlWatch } from "./ControlWatch.ts";
import { ReplicaChoice } from "./ReplicaChoice.ts";
import type { WatchContent } from "./WatchContent.ts";
import { WatchSupervisor } from "./WatchSupervisor.ts";

interface DocumentWatchesDeps {
  /** The currently known control replicas. */
  readonly controls: () => readonly ControlReplica[];
  /** Availability zone of this sidecar. */
  readonly zone: string;
  readonly sidecarId: string;
  /** The latest version that this sidecar has received. */
  readonly receivedVersion: () => number;
  /** Applies an update from the replica at `address`; `gap` if it is not based on the version received last. */
  readonly apply: (update: DocumentUpdate, address: string) => "taken" | "stale" | "gap";
  /** Called when control states that no change after `version` had been acknowledged at `at`, by `elapsed`. */
  readonly onConfirmed: (version: number, at: number) => void;
  /** Called when the replica at `address`, whose updates are not watched, states its version. */
  readonly onAnnounced: (address: string, version: number) => void;
  /** Called for every message to and from control. */
  readonly onMessageSize?: MessageSizeListener;
  readonly clock: Clock;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly log: bunyan;
}

/**
 * The watches of the document at two control replicas: one for the updates, and one for the versions only, which shows
 * that the first is lost or late. With a single watch, a change would arrive late whenever its replica is slow, its disk
 * stalls, or the network path to it has just failed.
 */
export class DocumentWatches implements IDisposable {
  readonly #deps: DocumentWatchesDeps;
  readonly #choice: ReplicaChoice;
  readonly #supervisors: Readonly<Record<WatchContent, WatchSupervisor>>;

  constructor(deps: DocumentWatchesDeps) {
    this.#deps = deps;
    const { controls: replicas, zone, clock, random } = deps;
    this.#choice = new ReplicaChoice({ replicas, zone, clock, random });
    this.#supervisors = {
      updates: this.#supervise("updates"),
      versions: this.#supervise("versions"),
    };
  }

  start(): void {
    this.#supervisors.updates.start();
    this.#supervisors.versions.start();
  }

  dispose(): void {
    this.#supervisors.updates.dispose();
    this.#supervisors.versions.dispose();
  }

  #supervise(content: WatchContent): WatchSupervisor {
    const { apply, clock, log } = this.#deps;
    const context = () => ({ content, followed: this.#followedBesides(content) });
    return new WatchSupervisor({
      choose: (avoid) => this.#choice.choose(context(), avoid),
      hasBetter: (address) => this.#choice.hasBetter(context(), address),
      onFailure: (address) => {
        this.#choice.noteFailure(address);
      },
      open: (address, events) => this.#open(content, address, events),
      apply,
      clock,
      log: log.child({ content }),
    });
  }

  #open(
    content: WatchContent,
    address: string,
    events: Parameters<ConstructorParameters<typeof WatchSupervisor>[0]["open"]>[1],
  ): ControlWatch {
    const { sidecarId, onMessageSize, elapsed, onConfirmed, onAnnounced } = this.#deps;
    const onVersion = (version: number) => {
      if (content === "versions") {
        onAnnounced(address, version);
      }
    };
    const deps = { sidecarId, content, onMessageSize, elapsed, onConfirmed, onVersion, ...events };
    return new ControlWatch(deps, address, this.#deps.receivedVersion());
  }

  #followedBesides(content: WatchContent): ReadonlySet<string> {
    const other = content === "updates" ? "versions" : "updates";
    return new Set(this.#supervisors[other].addresses);
  }
}
