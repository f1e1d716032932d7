import type { Service } from "../../common/document/Service.ts";

/** How gray targets of a service are found and for how long they stay out; from the document. */
export type DetectionRule = Service["detection"];
