import {createHash} from 'node:crypto';

/** Serializes plain data as JSON with sorted property names and no whitespace, so equal data gives equal bytes. */
export function canonicalJson(value: unknown): string {
	return JSON.stringify(value, (_name, item: unknown) =>
		isPlainObject(item) ? withSortedKeys(item) : item,
	);
}

/** Returns the hexadecimal SHA-256 of a text. */
export function sha256Hex(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Returns whether the value is an object with named properties, not an array or null. */
export function isPlainObject(
	value: unknown,
): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function withSortedKeys(
	item: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
	const entries = Object.entries(item).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return Object.fromEntries(entries);
}
