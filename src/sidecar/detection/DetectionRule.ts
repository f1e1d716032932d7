import type { Service } from "../../common/document/Service.ts";

/** A service's settings for detecting and ejecting gray targets, from the configuration document. */
export type DetectionRule = Service["detection"];
