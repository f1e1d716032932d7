import { z } from "zod";
import { Limits } from "./Limits.ts";
import { Route } from "./Route.ts";
import { Service } from "./Service.ts";
import { Workspace } from "./Workspace.ts";

const unique = (items: readonly { name: string }[]) =>
  new Set(items.map((i) => i.name)).size === items.length;

/**
 * The operators' document: the one validated YAML file with which operators
 * configure the whole fleet. Its version, which only increases, is sent along
 * with it and is not part of it.
 */
export const OperatorDocument = z.strictObject({
  services: z.array(Service).min(1).refine(unique, { error: "service names must be unique" }),
  /** Routes by host and path prefix; a service may also define simple routes itself. */
  routes: z.array(Route).default([]).refine(unique, { error: "route names must be unique" }),
  limits: Limits.prefault({}),
  /** If given, though empty, requests need an API key of a workspace, except on public routes. */
  workspaces: z
    .array(Workspace)
    .refine(unique, { error: "workspace names must be unique" })
    .optional(),
});

/** The parsed, validated operators' document. */
export type OperatorDocument = z.infer<typeof OperatorDocument>;
