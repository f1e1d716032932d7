import { z } from "zod";
import { Annotations } from "./Annotations.ts";

/** Characters that a header value may contain, without spaces: the name is sent to targets, the key by callers. */
const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

const MAX_NAME_LENGTH = 128;
const MAX_KEY_LENGTH = 512;

/** How many requests of a workspace may run, over the whole fleet. */
const Quota = z.strictObject({
  /** Requests a second. */
  ratePerS: z.number().positive(),
  /** Requests that may exceed the rate at once. */
  burst: z.number().min(0).optional(),
});

/**
 * One workspace: a customer's account, whose requests carry one of its API keys. Once a document contains workspaces,
 * each request needs a key, except on public routes.
 */
export const Workspace = z.strictObject({
  name: z.string().max(MAX_NAME_LENGTH).regex(VISIBLE_ASCII, "visible ASCII characters only"),
  /** API keys, each as it is or as `sha256:` and its SHA-256 digest in base64url; empty to refuse all requests. */
  apiKeys: z.array(
    z.string().max(MAX_KEY_LENGTH).regex(VISIBLE_ASCII, "visible ASCII characters only"),
  ),
  /** If omitted, requests are not limited. */
  quota: Quota.optional(),
  /** Priority of its requests in place of their routes'; 0 is the highest. */
  priority: z.number().int().min(0).optional(),
  /** Part of the slot time of targets, relative to other workspaces; by default the quota's rate, or 1 without one. */
  weight: z.number().positive().optional(),
  annotations: Annotations,
});

/** A parsed {@link Workspace}. */
export type Workspace = z.infer<typeof Workspace>;
