import type { Ask } from "./Ask.ts";
import type { AskReply } from "./AskReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { HopRequest } from "./HopRequest.ts";
import type { Pending } from "./Pending.ts";

/** Names a slot that was granted, or the run that took it. */
export type GrantOf = Pick<HopRequest, "attempt" | "target" | "grant">;

type OnQueued = (load: GateLoad) => void;

/** The way to the sidecars beside targets. */
export interface HopLink {
  /**
   * Asks for a slot, at a target's ask address. `onQueued` is called when the ask waits in line
   * there, with how busy the target is; an ask that gets lost is never answered.
   */
  ask(address: string, ask: Ask, onQueued: OnQueued): Pending<AskReply>;
  /** Sends a request for which a slot was granted, to a target's hop address. */
  run(address: string, req: HopRequest, onAlive: () => void): Pending<ForwardResult>;
  /** Asks again for the answer of a run whose connection was lost, over a new one. */
  join(address: string, grant: GrantOf, onAlive: () => void): Pending<ForwardResult>;
}
