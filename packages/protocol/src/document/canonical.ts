import {createHash} from 'node:crypto';

/** Writes plain data as JSON with sorted names and no space, so that equal data give equal bytes. */
export function canonicalJson(value: unknown): string {
	return JSON.stringify(value, (_name, item: unknown) =>
		isPlainObject(item) ? sorted(item) : item,
	);
}

/** Hexadecimal SHA-256 of a text. */
export function digestText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Whether the value is an object with named properties. */
export function isPlainObject(
	value: unknown,
): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function sorted(
	item: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
	const entries = Object.entries(item).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return Object.fromEntries(entries);
}
