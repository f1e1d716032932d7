import { z } from "zod";

/** Milliseconds, more than none. */
export const Millis = z.number().positive();
