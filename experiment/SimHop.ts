import { ServiceName } from "../src/common/ids/ServiceName.ts";
import type { Clock } from "../src/common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../src/sidecar/detection/AttemptOutcome.ts";
import type { ForwardResult } from "../src/sidecar/forwarding/ForwardResult.ts";
import type { TargetRequest } from "../src/sidecar/forwarding/TargetRequest.ts";
import type { RunState } from "../src/sidecar/gate/RunTable.ts";
import type { SlotRequest } from "../src/sidecar/hop/SlotRequest.ts";
import type { SlotReply } from "../src/sidecar/hop/SlotReply.ts";
import type { GateLoad } from "../src/sidecar/hop/GateLoad.ts";
import type { GrantRef, HopLink } from "../src/sidecar/hop/HopLink.ts";
import type { HopRequest } from "../src/sidecar/hop/HopRequest.ts";
import type { PendingCall } from "../src/sidecar/hop/PendingCall.ts";
import type { RetryCost } from "../src/sidecar/routing/RetryCost.ts";
import type { SimSidecar } from "./SimSidecar.ts";

/** A signal that a request is alive comes this often, ms; as between real sidecars. */
const ALIVE_MS = 300;

/** What it takes a sidecar to handle a message, ms. Assumed: with 0.9 ms between zones it makes a round trip of 2 to 4 ms. */
const HANDLING_MS = 1;

/** One that is asked for leave to retry and does not answer is passed over after this long, ms. */
const LOAN_SILENCE_MS = 40;

interface SimHopDeps {
  /** The sidecars that there are now, by their VMs' names. */
  readonly sidecars: ReadonlyMap<string, SimSidecar>;
  readonly zone: number;
  readonly zoneMs: number;
  readonly clock: Clock;
}

/** The way from one simulated sidecar to the others: a delay each way; what is sent to one that is down is lost. */
export class SimHop implements HopLink {
  readonly #deps: SimHopDeps;
  /** Asks made so far. */
  asks = 0;

  constructor(deps: SimHopDeps) {
    this.#deps = deps;
  }

  requestSlot(
    address: string,
    request: SlotRequest,
    onQueued: (load: GateLoad) => void,
  ): PendingCall<SlotReply> {
    this.asks += 1;
    let givenUp = false;
    let withdraw: () => void = () => undefined;
    const answer = new Promise<SlotReply>((resolve) => {
      this.#reach(address, ({ gate }, reply) => {
        if (givenUp) {
          return;
        }
        const ticket = gate.requestSlot(request, (said) => {
          reply(() => {
            resolve(said);
          });
        });
        withdraw = () => {
          ticket.withdraw();
        };
        if (ticket.queued) {
          const { load } = gate;
          reply(() => {
            onQueued(load);
          });
        }
      });
    });
    return {
      answer,
      giveUp: () => {
        givenUp = true;
        this.#reach(address, () => {
          withdraw();
        });
      },
    };
  }

  /** Asks another sidecar for leave to retry; false where it has no room, or is down. */
  borrow(address: string, costs: readonly RetryCost[]): Promise<boolean> {
    return new Promise((resolve) => {
      this.#deps.clock.after(LOAN_SILENCE_MS, () => {
        resolve(false);
      });
      this.#reach(address, ({ budgets }, reply) => {
        const isGiven = budgets.lend(costs);
        reply(() => {
          resolve(isGiven);
        });
      });
    });
  }

  run(address: string, req: HopRequest, onAlive: () => void): PendingCall<ForwardResult> {
    const answer = new Promise<ForwardResult>((resolve, reject) => {
      const onDown = () => {
        reject(new Error("ECONNREFUSED"));
      };
      this.#reach(
        address,
        ({ runner }, reply) => {
          const run = runner.run(req, () => this.#targetRequest(req));
          this.#answer(run, reply, onAlive, resolve);
        },
        onDown,
      );
    });
    return { answer, giveUp: () => undefined };
  }

  join(address: string, grant: GrantRef, onAlive: () => void): PendingCall<ForwardResult> {
    const answer = new Promise<ForwardResult>((resolve) => {
      this.#reach(address, ({ runner }, reply) => {
        this.#answer(endOf(runner.state(grant), grant), reply, onAlive, resolve);
      });
    });
    return { answer, giveUp: () => undefined };
  }

  /** Answers once a run has ended, and signals until then that it is alive. */
  #answer(
    run: Promise<ForwardResult>,
    reply: (act: () => void) => void,
    onAlive: () => void,
    resolve: (result: ForwardResult) => void,
  ): void {
    let ended = false;
    const signal = () => {
      if (!ended) {
        reply(onAlive);
        this.#deps.clock.after(ALIVE_MS, signal);
      }
    };
    signal();
    void run.then((result) => {
      ended = true;
      reply(() => {
        resolve(result);
      });
    });
  }

  #targetRequest(req: HopRequest): TargetRequest {
    const { attempt, target, method, path, headers, body, idempotent } = req;
    const callerService = ServiceName(req.callerService);
    return {
      method,
      path,
      headers,
      body,
      words: { attempt, target, callerService, echoHeader: undefined },
      deadlineAt: this.#deps.clock.now() + req.remainingMs,
      idempotent,
    };
  }

  /**
   * Has a message arrive at a sidecar, whose replies come back for as long as it is there.
   *
   * @param onDown what is seen of one that is down; left out, nothing
   */
  #reach(
    address: string,
    arrive: (there: SimSidecar, reply: (act: () => void) => void) => void,
    onDown: () => void = () => undefined,
  ): void {
    const { sidecars, clock } = this.#deps;
    const way = this.#wayTo(address);
    clock.after(way, () => {
      const there = sidecars.get(address);
      if (!there) {
        clock.after(way, onDown);
        return;
      }
      arrive(there, (act) => {
        if (sidecars.get(address) === there) {
          clock.after(way, act);
        }
      });
    });
  }

  #wayTo(address: string): number {
    const { sidecars, zone, zoneMs } = this.#deps;
    const there = sidecars.get(address)?.vm.zone;
    return HANDLING_MS + (there === zone ? 0 : zoneMs);
  }
}

function endOf(state: RunState, { target }: GrantRef): Promise<ForwardResult> {
  if (state.kind === "running" || state.kind === "ended") {
    return Promise.resolve(state.result);
  }
  const reason = "the sidecar beside the target does not know how the run ended";
  const verdict = { kind: "may-have-run", target, reason, timedOut: false, retryAfterMs: 0 };
  return Promise.resolve({
    verdict,
    outcome: AttemptOutcome.NoAnswer,
  } as ForwardResult);
}
