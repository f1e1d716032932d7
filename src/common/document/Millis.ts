import { z } from "zod";

/** Milliseconds, as a positive whole number. */
export const Millis = z.number().int().positive();
