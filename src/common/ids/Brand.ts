/**
 * A nominal type: a `T` that the compiler distinguishes from other `T`s, so that a
 * target id cannot be passed where a service name is expected.
 */
export type Brand<T, B extends string> = T & { readonly __brand: B };
