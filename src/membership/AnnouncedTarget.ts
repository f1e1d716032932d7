import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** A target as it announces itself to the sidecar on its VM. */
export type AnnouncedTarget = Omit<ProtoTypes["Target"], "resumed">;
