/** A checked response: its errors, if any, and its duration. */
export type CheckedResponse = {
	readonly errors: readonly string[];
	readonly durationMs: number;
};

/** Results of one group of traffic. */
export type TrafficOutcome = {
	readonly name: string;
	readonly sent: number;
	/** Number of responses without errors. */
	readonly correct: number;
	readonly errors: readonly string[];
	/** Median response time, in milliseconds. */
	readonly medianMs: number;
};

/** Summarizes the responses of one group of traffic. */
export function summarize(
	name: string,
	responses: readonly CheckedResponse[],
): TrafficOutcome {
	const durations = responses
		.map(({durationMs}) => durationMs)
		.toSorted((a, b) => a - b);
	return {
		name,
		sent: responses.length,
		correct: responses.filter(({errors}) => errors.length === 0).length,
		errors: responses.flatMap(({errors}) => errors),
		medianMs: durations[Math.floor(durations.length / 2)] ?? 0,
	};
}
