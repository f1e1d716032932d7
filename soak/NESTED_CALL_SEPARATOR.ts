/** In the tag of a nested call, separates the tag of the request whose run made the call from the call's own suffix. */
export const NESTED_CALL_SEPARATOR = "~";
