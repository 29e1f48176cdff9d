/** Schemas of settings that are numbers, with or without a fraction. */
import {z} from 'zod';

/** A number with or without a fraction or an exponent. */
const decimalNumber = z.string().regex(/^\d+(?:\.\d+)?(?:e[+-]?\d{1,2})?$/i, 'must be a number of at least 0, such as 8 or 0.25').transform(Number);

/** A number of at least 0 that defaults to a value if it is absent or empty. */
export function amount(defaultValue: number) {
	return z.preprocess(text => (text === '' ? undefined : text), decimalNumber.default(defaultValue));
}

/** A number of more than 0 that defaults to a value if it is absent or empty. */
export function positiveAmount(defaultValue: number) {
	return amount(defaultValue).refine(number => number > 0, 'must be more than 0');
}

/** A number of more than 0; undefined if it is absent or empty. */
export const optionalPositiveAmount = z.preprocess(text => (text === '' ? undefined : text), decimalNumber.refine(number => number > 0, 'must be more than 0').optional());
