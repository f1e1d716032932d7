import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { HopRequest } from "./HopRequest.ts";
import type { PendingCall } from "./PendingCall.ts";

/** Names a slot that was granted, or the run that took it. */
export type GrantRef = Pick<HopRequest, "attempt" | "target" | "grant">;

type OnQueued = (load: GateLoad) => void;

/** The way to the sidecars beside targets. */
export interface HopLink {
  /**
   * Asks for a slot, at a target's ask address. `onQueued` is called when the ask waits in line
   * there, with how busy the target is; an ask that gets lost is never answered.
   */
  requestSlot(address: string, request: SlotRequest, onQueued: OnQueued): PendingCall<SlotReply>;
  /** Sends a request for which a slot was granted, to a target's hop address. */
  run(address: string, req: HopRequest, onAlive: () => void): PendingCall<ForwardResult>;
  /** Asks again for the answer of a run whose connection was lost, over a new one. */
  join(address: string, grant: GrantRef, onAlive: () => void): PendingCall<ForwardResult>;
}
