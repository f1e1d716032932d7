/** Stands in the tag of a call between that of the request whose run made it and what tells it from others. */
export const NESTED_CALL_SEPARATOR = "~";
