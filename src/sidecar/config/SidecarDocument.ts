import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { ConfigFollower } from "./ConfigFollower.ts";
import { DocumentActivation } from "./DocumentActivation.ts";
import { DocumentFreshness } from "./DocumentFreshness.ts";

type ConfigFollowerDeps = ConstructorParameters<typeof ConfigFollower>[0];

interface SidecarDocumentDeps extends Omit<
  ConfigFollowerDeps,
  "isActive" | "onConfirmed" | "onReceived"
> {
  /** Age up to which the document of a sidecar that starts may decide about requests, ms. */
  readonly maxAgeMs: () => number;
}

/** The configuration document at a sidecar: what it has received, how current that is known to be, and what is in force. */
export class SidecarDocument extends Disposable {
  readonly follower: ConfigFollower;
  readonly freshness: DocumentFreshness;
  readonly #activation: DocumentActivation;

  constructor({ maxAgeMs, ...deps }: SidecarDocumentDeps) {
    super();
    const { clock, elapsed } = deps;
    this.freshness = new DocumentFreshness({
      version: () => this.follower.receivedVersion,
      elapsed,
    });
    this.#activation = this.register(
      new DocumentActivation({
        freshness: this.freshness,
        maxAgeMs,
        onActive: (reason) => {
          this.follower.activate(reason);
        },
        clock,
        elapsed,
      }),
    );
    this.follower = this.register(
      new ConfigFollower({
        ...deps,
        isActive: () => this.isActive,
        onConfirmed: (version, at) => {
          this.freshness.confirm(version, at);
        },
        onReceived: () => {
          this.#activation.noteReceived();
          this.freshness.onVersionChange();
        },
      }),
    );
  }

  /** Whether documents come into force as soon as they are received. */
  get isActive(): boolean {
    return this.#activation.isActive;
  }

  /** What this sidecar can tell others about the age of the document in force. */
  get confirmation(): { version: number; ageMs: number | undefined; credit: undefined } {
    const { version } = this.follower;
    const { ageMs } = this.freshness;
    const isKnown = version > 0 && Number.isFinite(ageMs);
    return { version, ageMs: isKnown ? ageMs : undefined, credit: undefined };
  }
}
