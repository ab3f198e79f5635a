/** One answer with what is wrong with it. */
export type CheckedAnswer = {
	readonly faults: readonly string[];
	readonly durationMs: number;
};

/** What came of one kind of traffic. */
export type TrafficOutcome = {
	readonly name: string;
	readonly sent: number;
	readonly right: number;
	readonly faults: readonly string[];
	/** Median time of an answer. */
	readonly medianMs: number;
};

/** Sums up the answers of one kind of traffic. */
export function summarize(
	name: string,
	answers: readonly CheckedAnswer[],
): TrafficOutcome {
	const durations = answers
		.map(({durationMs}) => durationMs)
		.toSorted((a, b) => a - b);
	return {
		name,
		sent: answers.length,
		right: answers.filter(({faults}) => faults.length === 0).length,
		faults: answers.flatMap(({faults}) => faults),
		medianMs: durations[Math.floor(durations.length / 2)] ?? 0,
	};
}
