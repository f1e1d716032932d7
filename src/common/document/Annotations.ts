import { z } from "zod";

/** Data that another system attaches to an item: stored and returned with it, never interpreted. */
export const Annotations = z.record(z.string(), z.unknown()).optional();
