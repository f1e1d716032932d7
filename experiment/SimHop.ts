import { ServiceName } from "../src/common/ids/ServiceName.ts";
import type { Clock } from "../src/common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../src/sidecar/detection/AttemptOutcome.ts";
import type { ForwardResult } from "../src/sidecar/forwarding/ForwardResult.ts";
import type { TargetRequest } from "../src/sidecar/forwarding/TargetRequest.ts";
import type { RunState } from "../src/sidecar/gate/RunTable.ts";
import { RefusalReason } from "../src/sidecar/hop/RefusalReason.ts";
import type { SlotRequest } from "../src/sidecar/hop/SlotRequest.ts";
import type { SlotReply } from "../src/sidecar/hop/SlotReply.ts";
import type { GateLoad } from "../src/sidecar/hop/GateLoad.ts";
import type { GrantRef, HopLink } from "../src/sidecar/hop/HopLink.ts";
import type { HopRequest } from "../src/sidecar/hop/HopRequest.ts";
import type { PendingCall } from "../src/sidecar/hop/PendingCall.ts";
import type { RetryCost } from "../src/sidecar/routing/RetryCost.ts";
import type { SenderShares } from "./SenderShares.ts";
import type { SimSidecar } from "./SimSidecar.ts";

/** Interval of the signals that a run is still in progress, ms; as between real sidecars. */
const KEEPALIVE_MS = 300;

/** Assumed time to handle a message, ms; with 0.9 ms between zones, a round trip takes 2 to 4 ms. */
const HANDLING_MS = 1;

/** Time to wait for the reply to a request for a retry token, ms; no reply counts as a refusal. */
const BORROW_TIMEOUT_MS = 40;

/** Reply to a slot request for which the sender's own share of the limit is used up. */
const SHARE_USED_UP: SlotReply = {
  kind: "refused",
  reason: RefusalReason.Limited,
  retryAfterMs: 1000,
  load: {
    ...{ slots: 1, busy: 0, queued: 0, serviceMs: 0, pace: 1, risk: 0 },
    ...{ suspect: false, ejected: false, wantsWork: false },
  },
};

interface SimHopDeps {
  /** The sidecars that are running now, by the names of their VMs. */
  readonly sidecars: ReadonlyMap<string, SimSidecar>;
  readonly zone: number;
  readonly zoneLatencyMs: number;
  /** This sender's shares of the limits that targets name; undefined if their gates enforce them. */
  readonly shares: SenderShares | undefined;
  /** Whether a run that is given up ends at its target. */
  readonly cancelsRuns: boolean;
  readonly clock: Clock;
}

/** Simulated connections from a sidecar to the others: messages are delayed each way, and lost if the receiver is down. */
export class SimHop implements HopLink {
  readonly #deps: SimHopDeps;
  /** Number of slot requests sent so far. */
  slotRequests = 0;

  constructor(deps: SimHopDeps) {
    this.#deps = deps;
  }

  requestSlot(
    address: string,
    request: SlotRequest,
    onQueued: (load: GateLoad) => void,
  ): PendingCall<SlotReply> {
    if (this.#deps.shares?.take(request.target) === false) {
      return { result: Promise.resolve(SHARE_USED_UP), cancel: () => undefined };
    }
    this.slotRequests += 1;
    let cancelled = false;
    let withdraw: () => void = () => undefined;
    const result = new Promise<SlotReply>((resolve) => {
      this.#deliver(address, ({ gate }, reply) => {
        if (cancelled) {
          return;
        }
        const ticket = gate.requestSlot(request, (slotReply) => {
          reply(() => {
            resolve(slotReply);
          });
        });
        withdraw = () => {
          ticket.withdraw();
        };
        if (ticket.isQueued) {
          const { load } = gate;
          reply(() => {
            onQueued(load);
          });
        }
      });
    });
    return {
      result,
      cancel: () => {
        cancelled = true;
        this.#deliver(address, () => {
          withdraw();
        });
      },
    };
  }

  /** Borrows a retry token from another sidecar; resolves to false if its budget does not allow one, or if it is down. */
  borrow(address: string, costs: readonly RetryCost[]): Promise<boolean> {
    return new Promise((resolve) => {
      this.#deps.clock.after(BORROW_TIMEOUT_MS, () => {
        resolve(false);
      });
      this.#deliver(address, ({ budgets }, reply) => {
        const isGranted = budgets.lend(costs);
        reply(() => {
          resolve(isGranted);
        });
      });
    });
  }

  run(address: string, req: HopRequest, onHeartbeat: () => void): PendingCall<ForwardResult> {
    const abort = new AbortController();
    const result = new Promise<ForwardResult>((resolve, reject) => {
      const onUnreachable = () => {
        reject(new Error("ECONNREFUSED"));
      };
      this.#deliver(
        address,
        ({ runner }, reply) => {
          const run = runner.run(req, () => this.#targetRequest(req, abort.signal));
          this.#replyWithResult(run, reply, onHeartbeat, resolve);
        },
        onUnreachable,
      );
    });
    const cancel = () => {
      this.#deliver(address, () => {
        abort.abort();
      });
    };
    return { result, cancel: this.#deps.cancelsRuns ? cancel : () => undefined };
  }

  reattach(address: string, grant: GrantRef, onHeartbeat: () => void): PendingCall<ForwardResult> {
    const result = new Promise<ForwardResult>((resolve) => {
      this.#deliver(address, ({ runner }, reply) => {
        this.#replyWithResult(resultOf(runner.state(grant), grant), reply, onHeartbeat, resolve);
      });
    });
    return { result, cancel: () => undefined };
  }

  /** Replies with the result of a run when it ends; until then, signals that the run is in progress. */
  #replyWithResult(
    run: Promise<ForwardResult>,
    reply: (callback: () => void) => void,
    onHeartbeat: () => void,
    resolve: (result: ForwardResult) => void,
  ): void {
    let ended = false;
    const signal = () => {
      if (!ended) {
        reply(onHeartbeat);
        this.#deps.clock.after(KEEPALIVE_MS, signal);
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

  #targetRequest(req: HopRequest, givenUp: AbortSignal): TargetRequest {
    const { attempt, target, method, path, headers, body, idempotent } = req;
    const callerService = ServiceName(req.callerService);
    return {
      method,
      path,
      headers,
      body,
      metadata: { attempt, target, callerService, echoHeader: undefined },
      deadlineAt: this.#deps.clock.now() + req.remainingMs,
      idempotent,
      cancelled: idempotent ? givenUp : undefined,
    };
  }

  /**
   * Delivers a message to a sidecar after the latency. Its replies are delivered as long as the same process is running.
   *
   * @param onUnreachable called after a round trip if the sidecar is down; by default the message is lost without notice
   */
  #deliver(
    address: string,
    handle: (peer: SimSidecar, reply: (callback: () => void) => void) => void,
    onUnreachable: () => void = () => undefined,
  ): void {
    const { sidecars, clock } = this.#deps;
    const latencyMs = this.#latencyTo(address);
    clock.after(latencyMs, () => {
      const peer = sidecars.get(address);
      if (!peer) {
        clock.after(latencyMs, onUnreachable);
        return;
      }
      handle(peer, (callback) => {
        if (sidecars.get(address) === peer) {
          clock.after(latencyMs, callback);
        }
      });
    });
  }

  #latencyTo(address: string): number {
    const { sidecars, zone, zoneLatencyMs } = this.#deps;
    const peerZone = sidecars.get(address)?.vm.zone;
    return HANDLING_MS + (peerZone === zone ? 0 : zoneLatencyMs);
  }
}

function resultOf(state: RunState, { target }: GrantRef): Promise<ForwardResult> {
  if (state.kind === "running" || state.kind === "ended") {
    return Promise.resolve(state.result);
  }
  const reason = "the sidecar beside the target does not know how the run ended";
  const verdict = { kind: "may-have-run", target, reason, timedOut: false, retryAfterMs: 0 };
  return Promise.resolve({
    verdict,
    outcome: AttemptOutcome.NoResponse,
  } as ForwardResult);
}
