import type {UsageCounts, UsageRow} from './types.js';

/** Number of the window that contains a true time, in milliseconds since the epoch. */
export function windowOf(trueMs: number, windowMs: number): number {
	return Math.floor(trueMs / windowMs);
}

/** True time at which a window ends, in milliseconds since the epoch. */
export function endOf(window: number, windowMs: number): number {
	return (window + 1) * windowMs;
}

export function totalOf(counts: UsageCounts): number {
	return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** Counts in a fixed order, so that the same counts have the same text. */
export function sortedCounts(
	counts: Iterable<readonly [string, number]>,
): UsageCounts {
	return Object.fromEntries(
		[...counts].toSorted(([a], [b]) => (a < b ? -1 : 1)),
	);
}

/** Encodes the row of a decided window. */
export function encodeUsageRow({
	window,
	counts,
	acknowledgedAt,
}: UsageRow): string {
	return JSON.stringify({
		window,
		counts,
		...(acknowledgedAt !== undefined && {
			acknowledgedAt: Math.round(acknowledgedAt),
		}),
	});
}

/** Decodes the row of a decided window. Returns undefined if it is malformed. */
export function decodeUsageRow(text: string): UsageRow | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	if (
		!isRecord(value) ||
		!Number.isSafeInteger(value.window) ||
		!isCounts(value.counts)
	) {
		return undefined;
	}

	return {
		window: Number(value.window),
		counts: value.counts,
		...(typeof value.acknowledgedAt === 'number' && {
			acknowledgedAt: value.acknowledgedAt,
		}),
	};
}

/** Whether a value from another process is a map from customers to numbers of requests. */
export function isCounts(value: unknown): value is UsageCounts {
	return (
		isRecord(value) &&
		Object.values(value).every(
			count => Number.isSafeInteger(count) && Number(count) >= 0,
		)
	);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
