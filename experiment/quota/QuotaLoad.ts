import type { QuotaModel } from "./QuotaModel.ts";

/** Interval at which requests arrive, ms. */
const STEP_MS = 10;

/** Longest time after which a request that has not run returns its credit, ms. */
const RELEASE_MS = 3000;

/** Requests of the workspace at random sidecars of a {@link QuotaModel}, and what becomes of them. */
export class QuotaLoad {
  readonly #model: QuotaModel;
  readonly #ratePerS: number;
  readonly #unusedShare: number;
  /** Requests by when they were sent, ms, and whether they got a credit; undefined while that is not known. */
  readonly requests: { readonly sentAt: number; isGranted: boolean | undefined }[] = [];

  /**
   * @param ratePerS requests a second, over all sidecars
   * @param unusedShare part of the requests that have not run, and return their credits
   */
  constructor(model: QuotaModel, ratePerS: number, unusedShare = 0) {
    this.#model = model;
    this.#ratePerS = ratePerS;
    this.#unusedShare = unusedShare;
  }

  /** Sends requests until the simulated time is `until`, ms; calls `each` at every step. */
  async run(until: number, each: () => void = () => undefined): Promise<void> {
    const { sim, random } = this.#model;
    while (sim.now() < until) {
      let expected = (this.#ratePerS * STEP_MS) / 1000;
      for (; expected > 0; expected -= 1) {
        if (random() < expected) {
          this.#send();
        }
      }
      each();
      await sim.run(sim.now() + STEP_MS);
    }
  }

  #send(): void {
    const { sim, random, sidecars } = this.#model;
    const running = sidecars.filter((s) => s.clock);
    const sidecar = running[Math.floor(random() * running.length)];
    const request: (typeof this.requests)[number] = { sentAt: sim.now(), isGranted: undefined };
    sidecar?.clock?.run(() => {
      this.requests.push(request);
      void sidecar.take().then((result) => {
        request.isGranted = result.kind === "granted";
        if (result.kind === "granted" && random() < this.#unusedShare) {
          const { credit } = result;
          sim.after(random() * RELEASE_MS, () => {
            sidecar.clock?.run(() => {
              credit.release();
            });
          });
        }
      });
    });
  }
}
