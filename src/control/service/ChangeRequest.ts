/** Changes to one table of the document: items to add or replace, not validated yet, and names of items to remove. */
interface TableEdit {
  readonly set: readonly unknown[];
  readonly drop: readonly string[];
}

/** Fields of every change request. */
interface ChangeRequestBase {
  /** Id of this change request, by which a resend is recognized. */
  readonly orderId: string;
  /** Document version after the change. */
  readonly version: number;
  /** Document version that the change is based on. */
  readonly base: number;
}

/** An operator's request to change the document; its content is validated when it is evaluated. */
export type ChangeRequest = ChangeRequestBase &
  (
    | { readonly kind: "replace"; readonly document: unknown }
    | {
        readonly kind: "edit";
        readonly services: TableEdit;
        readonly routes: TableEdit;
        readonly limits?: unknown;
        readonly workspaces?: TableEdit;
      }
  );
