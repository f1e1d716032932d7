import { z } from "zod";

/** What another system keeps beside an item: stored and given back with it, never interpreted. */
export const Annotations = z.record(z.string(), z.unknown()).optional();
