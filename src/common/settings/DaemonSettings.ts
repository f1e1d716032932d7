import { z } from "zod";
import { ControlSettings } from "./ControlSettings.ts";
import { SidecarSettings } from "./SidecarSettings.ts";

/** The YAML settings file of one daemon (not the operators' document). */
export const DaemonSettings = z.discriminatedUnion("role", [SidecarSettings, ControlSettings]);

/** Parsed settings of one daemon. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;
