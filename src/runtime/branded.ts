/**
 * Branded primitive types.
 *
 * A brand keeps identifiers of different kinds apart at compile time while they stay plain values at run time.
 */

/** A primitive of type `T` that only functions of its own domain create. */
export type Branded<T, Name extends string> = T & {readonly __brand: Name};
