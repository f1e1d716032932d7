import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { HopRequest } from "./HopRequest.ts";
import type { PendingCall } from "./PendingCall.ts";

/** Identifies a granted slot, or the run that uses it. */
export type GrantRef = Pick<HopRequest, "attempt" | "target" | "grant">;

type OnQueued = (load: GateLoad) => void;

/** Connection to the sidecars that are co-located with targets. */
export interface HopLink {
  /**
   * Sends a slot request to a target's ask address. `onQueued` is called with the target's load when the request
   * enters the admission queue there. If the request is lost, no reply arrives.
   */
  requestSlot(address: string, request: SlotRequest, onQueued: OnQueued): PendingCall<SlotReply>;
  /**
   * Sends a request for which a slot was granted to a target's hop address. `onHeartbeat` is called when the other
   * sidecar signals (by status 102) that it is still processing the request, and when a part of its response arrives.
   */
  run(address: string, req: HopRequest, onHeartbeat: () => void): PendingCall<ForwardResult>;
  /** Reattaches to a run whose connection was lost: asks for its result over a new connection. */
  reattach(address: string, grant: GrantRef, onHeartbeat: () => void): PendingCall<ForwardResult>;
}
