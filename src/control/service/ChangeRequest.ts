/** Items of one table of the document that an order sets, not checked yet, and names that it drops. */
interface TableOrder {
  readonly set: readonly unknown[];
  readonly drop: readonly string[];
}

/** What every order says. */
interface OrderHead {
  /** Names this order, so that it is known again when it is sent once more. */
  readonly orderId: string;
  /** The version that the document is to have. */
  readonly version: number;
  /** The version that the order builds on. */
  readonly base: number;
}

/** An operator's order to change the document; its content is checked only when it is weighed. */
export type ChangeRequest = OrderHead &
  (
    | { readonly kind: "replace"; readonly document: unknown }
    | {
        readonly kind: "edit";
        readonly services: TableOrder;
        readonly routes: TableOrder;
        readonly limits?: unknown;
      }
  );
