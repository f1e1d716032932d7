import type { AcceptedChange } from "../log/AcceptedChange.ts";

/** What is proposed for the current state, or an answer, with which the call ends without a proposal. */
export type ProposalDecision<T> = { readonly propose: AcceptedChange } | { readonly answer: T };
