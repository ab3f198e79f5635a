import {
	eventStepsBounds,
	eventStepsWeight,
	maxPromptBacklogMs,
	maxSlowdownChanges,
	maxSlowPeriodWaitMs,
	maxStepsPerEvent,
	minPromptShareOfPause,
	pauseLimitLifetimeMs,
	slowPeriodMemoryMs,
	slowdownLifetimeMs,
	usualStepMs,
} from './constants.js';
import type {SlowdownSpan} from './types.js';

/** Turn of a prompt at an engine. */
export type PromptTurn = {
	/** Time until the prompt may be sent, in milliseconds. */
	readonly delayMs: number;
	/** Prompt tokens that the engine still has to prefill before this prompt when it is sent. */
	readonly tokensAhead: number;
};

/** A slowdown and the time up to which it was reported. */
type SlowdownChange = {readonly slowdown: number; readonly until: number};

/** A prompt that was sent, with the time from which its prefill counts. */
type SentPrompt = {readonly at: number; readonly tokens: number};

/**
 * Paces the prompts that are sent to one engine. An engine prefills prompts between the decode steps of its running
 * requests. Prompts that arrive together fill several steps in a row, and all running streams pause meanwhile.
 *
 * Two rules decide when a prompt is sent. The first is a leaky bucket: the debt, which is the number of admitted prompt
 * tokens that are not prefilled yet, drains at the engine's prefill rate, and a prompt is admitted once the debt and the
 * prompt fit into the bucket. A prompt that is larger than the bucket waits until the debt is zero.
 *
 * The second holds while a route of the engine's streams limits the pause between events. An event spans several steps, so
 * a full bucket in each of them adds up. The prompts of a window as long as the shortest limit, and the steps of one event,
 * must take no longer than that limit. A prompt that alone takes longer delays the streams in any case, so it does not wait
 * for the window to be empty. One that takes longer only at the pace of a slow host waits for a while for the end of the slow
 * period.
 *
 * Both rules count time at the engine's pace of now, by its last reported slowdown.
 */
export class PromptPacer {
	/** @param tokensPerMs returns the engine's prefill rate at its usual pace */
	static create(now: number, tokensPerMs: () => number): PromptPacer {
		return new PromptPacer(now, tokensPerMs);
	}

	private _debt = 0;
	/** Prompts that count in the window, oldest first. */
	private _sent: readonly SentPrompt[] = [];
	/** Time of the last ask for each limit of the pause, by the limit. */
	private readonly _pauseLimits = new Map<number, number>();
	private _slowdown = 1;
	private _slowdownAt = Number.NEGATIVE_INFINITY;
	/** Time since which the host is slow; undefined if it is not. */
	private _slowSince: number | undefined;
	/** Slowdowns that were reported within the time that is remembered, oldest first. */
	private _changes: readonly SlowdownChange[] = [];

	/** Time of the steps of one event at the usual pace, in milliseconds. */
	private _eventStepsMs = maxStepsPerEvent * usualStepMs;

	private constructor(
		private _drainedAt: number,
		private readonly _tokensPerMs: () => number,
	) {}

	/** Prompt tokens that were admitted or reserved and are not prefilled yet. */
	debt(now: number): number {
		this._drain(now);
		return this._debt;
	}

	/** Notes the longest pause that the route of a prompt allows, in milliseconds. */
	noteMaxPause(maxPauseMs: number, now: number): void {
		if (maxPauseMs > 0) {
			this._pauseLimits.set(maxPauseMs, now);
		}
	}

	/** Notes how long work takes at the engine now, against its usual time; undefined if it does not say. */
	noteSlowdown(slowdown: number | undefined, now: number): void {
		this._drain(now);
		const before = this._slowdownOf(now);
		this._slowdown = Math.max(1, slowdown ?? 1);
		this._slowdownAt = now;
		this._slowSince =
			this._slowdown === 1
				? undefined
				: before === 1
					? now
					: (this._slowSince ?? now);
		this._noteChange(this._slowdown, now);
		// Reservations were spaced for the earlier pace. Unless the rest is counted anew, a short slow period would delay
		// all later prompts until the engine falls idle.
		const change = this._slowdown / before;
		this._sent = this._sent.map(({at, tokens}) => ({
			at: at > now ? now + (at - now) * change : at,
			tokens,
		}));
	}

	/** How long work takes now, against the usual time; undefined if nothing has said so lately. */
	slowdown(now: number): number | undefined {
		return now - this._slowdownAt < slowdownLifetimeMs
			? this._slowdown
			: undefined;
	}

	/** Notes the time of the steps of one event without prompts at the usual pace, as an entry learned it, in milliseconds. */
	noteEventSteps(ms: number): void {
		const assumedMs = maxStepsPerEvent * usualStepMs;
		const {min, max} = eventStepsBounds;
		const bounded = Math.min(max * assumedMs, Math.max(min * assumedMs, ms));
		if (Number.isFinite(bounded)) {
			this._eventStepsMs += eventStepsWeight * (bounded - this._eventStepsMs);
		}
	}

	/** Whether the engine was slow within the last seconds, so that its pace may change at any time. */
	wasSlow(now: number): boolean {
		return this._worstSlowdown(now) > 1;
	}

	/** Least and greatest slowdown within the last milliseconds. */
	slowdownSpan(withinMs: number, now: number): SlowdownSpan {
		const slowdowns = this._changes
			.filter(({until}) => until > now - withinMs)
			.map(({slowdown}) => slowdown);
		return slowdowns.length === 0
			? {least: 1, greatest: 1}
			: {least: Math.min(...slowdowns), greatest: Math.max(...slowdowns)};
	}

	/** Time until a prompt of that size may be sent, in milliseconds; 0 if it may be sent now. */
	delayMs(tokens: number, now: number): number {
		this._drain(now);
		const bucketMs = promptWaitMs(
			this._debt,
			tokens,
			this._rate(now),
			this._maxBacklogMs(now),
		);
		return Math.max(bucketMs, this._windowWaitMs(tokens, now));
	}

	/** Notes that a prompt is sent now. Returns the prompt tokens that the engine still has to prefill before it. */
	admit(tokens: number, now: number): number {
		this._drain(now);
		return this._add(tokens, 0, now);
	}

	/** Reserves capacity for a prompt, after all earlier ones. */
	reserve(tokens: number, now: number): PromptTurn {
		const delayMs = this.delayMs(tokens, now);
		return {delayMs, tokensAhead: this._add(tokens, delayMs, now)};
	}

	/** Cancels the admission or reservation of a prompt that is not sent. */
	release(tokens: number, now: number): void {
		this._drain(now);
		this._debt = Math.max(0, this._debt - tokens);
		const index = this._sent.findLastIndex(sent => sent.tokens === tokens);
		this._sent = this._sent.filter((_sent, i) => i !== index);
	}

	/** Adds a prompt that is sent after the delay. Returns the prompt tokens before it at that time. */
	private _add(tokens: number, delayMs: number, now: number): number {
		const rate = this._rate(now);
		// Until a prompt is sent that waits for the window, the engine may have no prompts left.
		this._debt = Math.max(this._debt, delayMs * rate);
		const tokensAhead = drainedDebt(this._debt, delayMs, rate);
		this._debt += tokens;
		if (this._pauseLimit(now) !== undefined) {
			// The prefill of a large prompt goes on beyond the window that begins when it is sent.
			const excess = tokensAhead + tokens - this._maxWindowTokens(now);
			const at = now + delayMs + Math.max(0, excess) / rate;
			this._sent = [...this._sent, {at, tokens}];
		}

		return tokensAhead;
	}

	/** Prefill rate at the pace of now. */
	private _rate(now: number): number {
		return this._tokensPerMs() / this._slowdownOf(now);
	}

	private _slowdownOf(now: number): number {
		return this.slowdown(now) ?? 1;
	}

	private _worstSlowdown(now: number): number {
		return this.slowdownSpan(slowPeriodMemoryMs, now).greatest;
	}

	private _noteChange(slowdown: number, now: number): void {
		const last = this._changes.at(-1);
		if (last?.slowdown === slowdown) {
			this._changes = [...this._changes.slice(0, -1), {slowdown, until: now}];
			return;
		}

		this._changes = [
			...this._changes.filter(({until}) => now - until < slowPeriodMemoryMs),
			{slowdown, until: now},
		].slice(-maxSlowdownChanges);
	}

	/**
	 * Size of the bucket, in milliseconds at the pace of now. A host that turns slow does so under a full bucket, which
	 * then takes no longer than a full one at the usual pace.
	 */
	private _maxBacklogMs(now: number): number {
		return (
			(maxPromptBacklogMs * this._slowdownOf(now)) / this._worstSlowdown(now)
		);
	}

	/** Shortest limit of the pause among the streams that may still run, in milliseconds; undefined without one. */
	private _pauseLimit(now: number): number | undefined {
		for (const [limit, askedAt] of this._pauseLimits) {
			if (now - askedAt >= pauseLimitLifetimeMs) {
				this._pauseLimits.delete(limit);
			}
		}

		return this._pauseLimits.size === 0
			? undefined
			: Math.min(...this._pauseLimits.keys());
	}

	/** Prompt tokens that the engine can prefill within the shortest limit of the pause, besides the steps of an event. */
	private _maxWindowTokens(
		now: number,
		slowdown = this._slowdownOf(now),
	): number {
		const limit = this._pauseLimit(now) ?? Number.POSITIVE_INFINITY;
		const stepsMs = this._eventStepsMs * slowdown;
		return (
			(Math.max(limit - stepsMs, minPromptShareOfPause * limit) *
				this._tokensPerMs()) /
			slowdown
		);
	}

	/** Time for which a prompt waits for the end of a slow period, in milliseconds; 0 if it also takes too long without it. */
	private _slowPeriodWaitMs(tokens: number, now: number): number {
		return this._slowdownOf(now) === 1 ||
			this._slowSince === undefined ||
			tokens >= this._maxWindowTokens(now, 1)
			? 0
			: Math.max(0, this._slowSince + maxSlowPeriodWaitMs - now);
	}

	/** Time until the prompt fits into the window, in milliseconds. */
	private _windowWaitMs(tokens: number, now: number): number {
		const limit = this._pauseLimit(now);
		const maxTokens = this._maxWindowTokens(now);
		if (limit === undefined) {
			return 0;
		}

		if (tokens >= maxTokens) {
			return this._slowPeriodWaitMs(tokens, now);
		}

		let excess = tokens - maxTokens;
		for (const {tokens: sent} of this._sent) {
			excess += sent;
		}

		let waitMs = 0;
		for (const {at, tokens: sent} of this._sent) {
			if (excess <= 0) {
				break;
			}

			excess -= sent;
			waitMs = Math.max(waitMs, at + limit - now);
		}

		return waitMs;
	}

	private _drain(now: number): void {
		const elapsedMs = now - this._drainedAt;
		this._debt = drainedDebt(this._debt, elapsedMs, this._rate(now));
		this._drainedAt = now;
		const limit = this._pauseLimit(now) ?? 0;
		this._sent = this._sent.filter(({at}) => at + limit > now);
	}
}

/** Returns the debt that remains after the elapsed time. */
export function drainedDebt(
	debt: number,
	elapsedMs: number,
	tokensPerMs: number,
): number {
	return Math.max(0, debt - elapsedMs * tokensPerMs);
}

/** Returns the time until a prompt may be sent to an engine with the given debt, in milliseconds. */
export function promptWaitMs(
	debt: number,
	tokens: number,
	tokensPerMs: number,
	maxBacklogMs = maxPromptBacklogMs,
): number {
	const maxBacklog = maxBacklogMs * tokensPerMs;
	const allowedDebt = maxBacklog - Math.min(tokens, maxBacklog);
	return Math.max(0, (debt - allowedDebt) / tokensPerMs);
}

/** Returns the debt at which even the smallest prompt waits for the given time. */
export function debtForWait(delayMs: number, tokensPerMs: number): number {
	return (delayMs + maxPromptBacklogMs) * tokensPerMs;
}
