/**
 * Branded primitive types.
 *
 * A brand exists only at compile time, where it prevents identifiers of different kinds from being mixed up. At run time, the values are plain primitives.
 */

/** A primitive of type `T` with the brand `Name`. Only the functions that validate the value should create it. */
export type Branded<T, Name extends string> = T & {readonly __brand: Name};
