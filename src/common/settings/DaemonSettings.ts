import { z } from "zod";
import { ControlSettings } from "./ControlSettings.ts";
import { SidecarSettings } from "./SidecarSettings.ts";

/** The daemon's own YAML settings file (not the operators' document). */
export const DaemonSettings = z.discriminatedUnion("role", [SidecarSettings, ControlSettings]);

/** Parsed daemon settings. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;
