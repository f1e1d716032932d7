import { ModelVoter } from "./ModelVoter.ts";
import type { ModelSidecar } from "./ModelSidecar.ts";
import type { QuotaModel } from "./QuotaModel.ts";

/** Time until the other sidecars know of one that has died, ms, at least and at most. */
const DEATH_NOTICE_MS = [500, 2000] as const;

/** Time until the other sidecars know of one that has started, ms, at most. */
const START_NOTICE_MS = 1000;

/** Time until a voter that has started is in touch with its group, ms, at least and at most. */
const TOUCH_MS = [100, 1500] as const;

/** Faults of the processes and the network of a {@link QuotaModel}. */
export class QuotaFaults {
  readonly #model: QuotaModel;

  constructor(model: QuotaModel) {
    this.#model = model;
  }

  /** Kills all control voters, and starts them again after `ms`. */
  restartControl(ms: number): void {
    this.#model.voters.forEach((voter) => {
      this.restartVoter(voter, ms);
    });
  }

  restartVoter(voter: ModelVoter, ms: number): void {
    if (!voter.clock || voter.isRemoved) {
      return;
    }
    voter.crash();
    this.#model.sim.after(ms, () => {
      voter.loseTouch(this.#between(...TOUCH_MS));
      voter.start();
    });
  }

  /** Kills a sidecar, and starts it again after `ms`, or never. */
  restartSidecar(sidecar: ModelSidecar, ms: number): void {
    if (!sidecar.clock) {
      return;
    }
    const { sim } = this.#model;
    sidecar.crash();
    this.#others(sidecar).forEach((other) => {
      sim.after(this.#between(...DEATH_NOTICE_MS), () => {
        if (!sidecar.clock) {
          other.view = other.view.filter((s) => s.id !== sidecar.id);
        }
      });
    });
    if (Number.isFinite(ms)) {
      sim.after(ms, () => {
        sidecar.start();
        this.#announce(sidecar);
      });
    }
  }

  /** Stops a sidecar in an orderly way, and starts it again after `ms`. */
  stopSidecar(sidecar: ModelSidecar, ms: number): void {
    sidecar.clock?.run(() => {
      sidecar.holder?.stop();
      this.restartSidecar(sidecar, ms);
    });
  }

  /** Replaces a voter, which does not learn of it, and loses touch with the group. */
  replaceVoter(removed: ModelVoter): void {
    const { voters } = this.#model;
    if (removed.isRemoved || !removed.clock) {
      return;
    }
    removed.isRemoved = true;
    removed.loseTouch(Infinity);
    const added = new ModelVoter(this.#model, voters.length, []);
    added.start();
    voters.push(added);
    const group = voters
      .filter((v) => !v.isRemoved)
      .map((v) => ({ id: v.id, address: v.id, zone: "" }));
    voters.forEach((v) => {
      if (!v.isRemoved) {
        v.see(group);
      }
    });
  }

  /** Lets one random fault happen. */
  random(): void {
    const { random, sidecars, voters } = this.#model;
    const sidecar = this.#oneOf(sidecars);
    const voter = this.#oneOf(voters);
    const isSuspended = random() < 0.5;
    const faults = [
      () => {
        this.restartSidecar(sidecar, this.#between(100, 3000));
      },
      () => {
        this.stopSidecar(sidecar, this.#between(100, 3000));
      },
      () => sidecar.clock?.freeze(this.#between(50, 5000), isSuspended),
      () => voter.clock?.freeze(this.#between(50, 5000), isSuspended),
      () => {
        this.restartVoter(voter, this.#between(50, 3000));
      },
      () => {
        voter.loseTouch(this.#between(500, 8000));
      },
      () => {
        this.#model.cut(`${sidecar.id}/${voter.id}`, this.#between(500, 6000));
      },
      () => {
        this.#model.cut(`${sidecar.id}/${this.#oneOf(sidecars).id}`, this.#between(500, 6000));
      },
      () => {
        this.restartControl(this.#between(50, 2500));
      },
      () => {
        this.loseAllPower(this.#between(50, 2500));
      },
      () => {
        this.replaceVoter(voter);
      },
      () => {
        this.isolate(sidecar, this.#between(100, 2500));
      },
    ];
    this.#oneOf(faults)();
  }

  /** Isolates sidecars while the reply to a request for a lease is on its way, after this part of the requests. */
  isolateDuringAsks(share: number): void {
    this.#model.onLeaseAsk = (sidecar) => {
      if (this.#model.random() < share) {
        this.isolate(sidecar, this.#between(100, 2500));
      }
    };
  }

  /** Freezes a sidecar for `ms`, after which it reaches no voter and only half of the sidecars for some seconds. */
  isolate(sidecar: ModelSidecar, ms: number): void {
    const { sim, random, voters } = this.#model;
    sidecar.clock?.freeze(ms, random() < 0.5);
    sim.after(ms, () => {
      const others = this.#others(sidecar).filter(() => random() < 0.5);
      const cutMs = this.#between(3000, 8000);
      [...voters, ...others].forEach(({ id }) => {
        this.#model.cut(`${sidecar.id}/${id}`, cutMs);
        this.#model.cut(`${id}/${sidecar.id}`, cutMs);
      });
    });
  }

  /** Kills all processes at once, and starts them again after `ms`. */
  loseAllPower(ms: number): void {
    this.restartControl(ms);
    this.#model.sidecars.forEach((sidecar) => {
      this.restartSidecar(sidecar, ms);
    });
  }

  #announce(sidecar: ModelSidecar): void {
    const entry = { id: sidecar.id, address: sidecar.id };
    this.#others(sidecar).forEach((other) => {
      this.#model.sim.after(this.#between(0, START_NOTICE_MS), () => {
        other.view = [...other.view.filter((s) => s.id !== sidecar.id), entry];
      });
    });
  }

  #others(sidecar: ModelSidecar): readonly ModelSidecar[] {
    return this.#model.sidecars.filter((s) => s !== sidecar);
  }

  #oneOf<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.#model.random() * items.length)];
    if (item === undefined) {
      throw new Error("nothing to choose from");
    }
    return item;
  }

  #between(least: number, most: number): number {
    return least + this.#model.random() * (most - least);
  }
}
