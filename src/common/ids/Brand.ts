/**
 * A nominal type: a `T` that the compiler keeps apart from other `T`s, so a
 * target id cannot be passed where a service name is wanted.
 */
export type Brand<T, B extends string> = T & { readonly __brand: B };
