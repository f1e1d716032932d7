import type { Brand } from "./Brand.ts";

/** Name of a workspace in the operators' document: the account that a request belongs to. */
export type WorkspaceName = Brand<string, "WorkspaceName">;

/** Brands a string as a {@link WorkspaceName}; the format is not checked. */
export const WorkspaceName = (raw: string): WorkspaceName => raw as WorkspaceName;
