import { z } from "zod";

/** A positive number of milliseconds. */
export const Millis = z.number().positive();
