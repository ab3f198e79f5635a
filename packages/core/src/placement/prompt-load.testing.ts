import {EventIntervals} from '../work/event-intervals.js';
import {drainedDebt, promptWaitMs, PromptPacer} from './prompt-pacer.js';

/** Prompt tokens that an engine prefills in one step, its prefill rate and its step time, from the system's data sheet. */
const chunkTokens = 4096;
export const enginePrefillTokensPerMs = 19;
const usualEngineStepMs = 9.5;
const stepsPerEvent = 4;
const eventsPerStream = 30;
/** Interval at which the agent reads the slowdown that the engine reports, unless the load says otherwise, in milliseconds. */
const usualReadingMs = 50;

export type PromptArrival = {readonly at: number; readonly tokens: number};

/** A load of one engine. */
export type PromptLoad = {
	/** Sorted by time. */
	readonly arrivals: readonly PromptArrival[];
	/** Streams that run from the beginning and do not end. */
	readonly initialStreams: number;
	/** How long work takes at a time, against its usual time. */
	readonly slowdownAt: (now: number) => number;
	/** Interval at which the agent learns the slowdown, in milliseconds. */
	readonly slowdownReadingMs?: number;
	/** Longest pause that the routes allow, in milliseconds. */
	readonly maxPauseMs: number;
	/** Time of a step of the engine, in milliseconds; that of the data sheet if absent. */
	readonly stepMs?: number;
};

/** Decides when prompts that wait in order of arrival are sent. */
export type PromptGate = {
	readonly noteArrival: (prompt: PromptArrival) => void;
	/** Returns the prompts that are sent by that time, each with the time of its send. */
	readonly take: (now: number) => readonly SentArrival[];
	readonly noteSlowdown: (slowdown: number, now: number) => void;
	/** Notes the time between two events of a stream, in milliseconds, and how long work takes. */
	readonly noteInterval?: (intervalMs: number, slowdown: number) => void;
};

type SentArrival = PromptArrival & {readonly sentAt: number};

export type LoadOutcome = {
	/** Streams with a pause over the limit. */
	readonly paused: number;
	/** Times from the arrival to the first event, sorted, in milliseconds. */
	readonly firstEventMs: readonly number[];
	/** Time at which the last prompt was prefilled. */
	readonly prefilledAt: number;
};

type Prefill = {readonly at: number; left: number};
type Stream = {
	left: number;
	steps: number;
	lastEventAt: number;
	pauseMs: number;
};

/** The pacer as it was without a limit of the pause and without the slowdown, for comparison. */
export function previousGate(): PromptGate {
	let debt = 0;
	let drainedAt = 0;
	let sent: SentArrival[] = [];
	return {
		noteArrival({at, tokens}) {
			const rate = enginePrefillTokensPerMs;
			debt = drainedDebt(debt, at - drainedAt, rate);
			drainedAt = at;
			const sentAt = at + promptWaitMs(debt, tokens, rate);
			debt += tokens;
			sent.push({at, tokens, sentAt});
		},
		take(now) {
			const due = sent.filter(({sentAt}) => sentAt <= now);
			sent = sent.filter(({sentAt}) => sentAt > now);
			return due;
		},
		noteSlowdown() {
			// The previous pacer did not know it.
		},
	};
}

/** The pacer with one reservation for each prompt at its arrival. */
export function reservingGate(maxPauseMs: number): PromptGate {
	const pacer = PromptPacer.create(0, () => enginePrefillTokensPerMs);
	let sent: SentArrival[] = [];
	return {
		noteArrival({at, tokens}) {
			pacer.noteMaxPause(maxPauseMs, at);
			const {delayMs} = pacer.reserve(tokens, at);
			sent.push({at, tokens, sentAt: at + delayMs});
		},
		take(now) {
			const due = sent.filter(({sentAt}) => sentAt <= now);
			sent = sent.filter(({sentAt}) => sentAt > now);
			return due;
		},
		noteSlowdown(slowdown, now) {
			pacer.noteSlowdown(slowdown, now);
		},
	};
}

/** The pacer with a queue that asks each millisecond whether its first prompt may be sent. */
export function queueingGate(maxPauseMs: number): PromptGate {
	return createQueueingGate(maxPauseMs, false);
}

/** The same, with the time of the steps of an event learned from the streams. */
export function learningGate(maxPauseMs: number): PromptGate {
	return createQueueingGate(maxPauseMs, true);
}

function createQueueingGate(maxPauseMs: number, learns: boolean): PromptGate {
	const intervals = EventIntervals.create();
	const pacer = PromptPacer.create(0, () => enginePrefillTokensPerMs);
	const waiting: PromptArrival[] = [];
	let askedAt = 0;
	return {
		noteArrival(prompt) {
			pacer.noteMaxPause(maxPauseMs, prompt.at);
			waiting.push(prompt);
		},
		take(now) {
			const due: SentArrival[] = [];
			for (; askedAt <= now; askedAt++) {
				while (
					waiting.length > 0 &&
					waiting[0]!.at <= askedAt &&
					pacer.delayMs(waiting[0]!.tokens, askedAt) === 0
				) {
					const prompt = waiting.shift()!;
					pacer.admit(prompt.tokens, askedAt);
					due.push({...prompt, sentAt: askedAt});
				}
			}

			return due;
		},
		noteSlowdown(slowdown, now) {
			pacer.noteSlowdown(slowdown, now);
			if (learns && intervals.intervalMs !== undefined) {
				pacer.noteEventSteps(intervals.intervalMs);
			}
		},
		noteInterval(intervalMs, slowdown) {
			intervals.note(intervalMs, slowdown);
		},
	};
}

/** Runs an engine that reads the prompts that wait, up to a chunk, in each step of its running requests. */
export function runPromptLoad(
	{
		arrivals,
		initialStreams,
		slowdownAt,
		slowdownReadingMs: readingMs = usualReadingMs,
		maxPauseMs,
		stepMs = usualEngineStepMs,
	}: PromptLoad,
	gate: PromptGate,
): LoadOutcome {
	const coming = [...arrivals];
	const prefilling: Prefill[] = [];
	let streams = Array.from({length: initialStreams}, (_, i) => ({
		...newStream(0),
		left: Number.POSITIVE_INFINITY,
		steps: i % stepsPerEvent,
	}));
	const firstEventMs: number[] = [];
	let paused = 0;
	let prefilledAt = 0;
	let now = 0;
	let clockedAt = 0;
	while (
		firstEventMs.length < arrivals.length ||
		streams.some(stream => willEnd(stream))
	) {
		for (; clockedAt <= now; clockedAt++) {
			if (clockedAt % readingMs === 0) {
				gate.noteSlowdown(slowdownAt(clockedAt), clockedAt);
			}

			while (coming.length > 0 && coming[0]!.at <= clockedAt) {
				gate.noteArrival(coming.shift()!);
			}

			for (const {at, tokens} of gate.take(clockedAt)) {
				prefilling.push({at, left: tokens});
			}
		}

		if (prefilling.length + streams.length === 0) {
			now++;
			continue;
		}

		const prefilled = prefillChunk(prefilling);
		now += slowdownAt(now) * (stepMs + prefilled / enginePrefillTokensPerMs);
		for (const stream of streams) {
			const intervalMs = step(stream, now);
			if (intervalMs !== undefined) {
				gate.noteInterval?.(intervalMs, slowdownAt(now));
			}
		}

		paused += streams.filter(
			({left, pauseMs}) => left === 0 && pauseMs > maxPauseMs,
		).length;
		streams = streams.filter(({left}) => left > 0);
		while (prefilling.length > 0 && prefilling[0]!.left <= 0) {
			const {at} = prefilling.shift()!;
			prefilledAt = now;
			firstEventMs.push(now - at);
			streams.push(newStream(now));
		}
	}

	paused += streams.filter(({pauseMs}) => pauseMs > maxPauseMs).length;
	return {
		paused,
		firstEventMs: firstEventMs.toSorted((a, b) => a - b),
		prefilledAt,
	};
}

function willEnd({left}: Stream): boolean {
	return Number.isFinite(left);
}

function newStream(now: number): Stream {
	return {
		left: eventsPerStream * stepsPerEvent,
		steps: 0,
		lastEventAt: now,
		pauseMs: 0,
	};
}

function prefillChunk(prefilling: readonly Prefill[]): number {
	let prefilled = 0;
	for (const prompt of prefilling) {
		const part = Math.min(prompt.left, chunkTokens - prefilled);
		prompt.left -= part;
		prefilled += part;
	}

	return prefilled;
}

/** Generates a token. Returns the time since the stream's last event, in milliseconds, if the token completes one. */
function step(stream: Stream, now: number): number | undefined {
	stream.left--;
	stream.steps++;
	if (stream.steps % stepsPerEvent !== 0 && stream.left > 0) {
		return undefined;
	}

	const intervalMs = now - stream.lastEventAt;
	stream.pauseMs = Math.max(stream.pauseMs, intervalMs);
	stream.lastEventAt = now;
	return intervalMs;
}
