import {
	remainingTurnMs,
	turnAskIntervalMs,
	type CustomerRule,
	type PromptTurn,
	type RouteRule,
} from '@balsamtray/core';
import type {Disposable} from '../common/types.js';
import type {AgentClient} from './agent-client.js';
import {
	maxSilentTurnAsks,
	minPrefillDelayMs,
	prefillTimeoutMs,
} from './constants.js';
import type {KeyCounts} from './key-counts.js';

/** What an agent orders a waiting prompt by. */
export type TurnNeed = {
	readonly promptTokens: number;
	readonly priority: number;
	readonly customer: string | undefined;
	/** Share of the customer among the others; undefined if it has no rate limit. */
	readonly weight: number | undefined;
	/** Monotonic time within which the first event is on time, in milliseconds; undefined without such a target. */
	readonly targetAt: number | undefined;
	/** Longest pause between events that the route allows, in milliseconds; absent without such a limit. */
	readonly maxPauseMs?: number | undefined;
};

/**
 * How a wait for a turn ended: the agent granted it, its delay passed, the agent did not reply, the turn can't come in time,
 * or another engine would begin sooner.
 */
export type TurnOutcome =
	'granted' | 'delayed' | 'unanswered' | 'tooLate' | 'moved';

/** Answer of an agent to a prompt that asks for its turn. */
export type TurnReply = PromptTurn & {
	/** Whether the delay is an estimate and a grant follows. */
	readonly isQueued: boolean;
};

export type EngineTurnOptions = {
	readonly agentClient: Pick<
		AgentClient,
		| 'openTurn'
		| 'closeTurn'
		| 'askTurn'
		| 'onTurnAskEnded'
		| 'releasePrefill'
		| 'noteSentWithoutTurn'
	>;
	/** Requests that wait for their turn, counted by adapter. */
	readonly waiting: KeyCounts;
	readonly clock: () => number;
	readonly server: string;
	readonly adapter: string | undefined;
	readonly need: TurnNeed;
	/** Time since which the prompt waits, also at engines before this one. */
	readonly since: number;
	/** Time for which the prompt may still wait, in milliseconds. */
	readonly maxWaitMs: (now: number) => number;
	/** Called once when the prompt has to wait. */
	readonly onWait: () => void;
	/** Called once with how the wait ended and the first estimate of the delay, in milliseconds; undefined without one. */
	readonly onEnded: (outcome: TurnOutcome, estimateMs?: number) => void;
	/** Called when the prompt may be sent. The number of tokens ahead is undefined if the agent did not say. */
	readonly onDue: (tokensAhead: number | undefined) => void;
	/** Returns whether another engine would begin sooner than after a further wait of that time, in milliseconds. */
	readonly hasSooner: (remainingMs: number) => boolean;
	/** Called when the prompt is to look for another engine. */
	readonly onMove: () => void;
	/** Called when the turn can't come in time. */
	readonly onTooLate: (delayMs: number) => void;
};

/**
 * The turn of one prompt at an engine: asks the agent for it, keeps its place in the agent's queue, and gives it up if the
 * prompt is not sent.
 */
export class EngineTurn implements Disposable {
	static create(options: EngineTurnOptions): EngineTurn {
		return new EngineTurn(options);
	}

	private _askId: number | undefined;
	private _askedAt = 0;
	private _isWaiting = false;
	/** Whether the agent knows of the prompt: it has a place or its turn. */
	private _isKnown = false;
	private _isDue = false;
	private _isEnded = false;
	/** Time at which the turn is expected. */
	private _expectedAt = 0;
	private _silentAsks = 0;
	private _estimateMs: number | undefined;
	private _silenceTimer: NodeJS.Timeout | undefined;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: EngineTurnOptions) {}

	/** Asks for the turn. The prompt may be sent at once if the agent is not heard, as an engine still serves without it. */
	start(): void {
		const {agentClient, server, need} = this._options;
		this._askId = agentClient.openTurn(server, need.promptTokens, reply => {
			this._onReply(reply);
		});
		if (this._askId === undefined) {
			this._setDue('unanswered');
		} else {
			this._ask();
		}
	}

	/** The prompt is sent, so its turn is not given up. */
	use(): void {
		if (this._askId !== undefined && !this._isKnown && !this._isEnded) {
			const {agentClient, server, need} = this._options;
			agentClient.noteSentWithoutTurn(server, this._askId, need.promptTokens);
		}

		this._end();
	}

	/** Gives up the turn unless it was used. */
	dispose(): void {
		const {agentClient, server, need} = this._options;
		if (this._askId !== undefined && !this._isEnded) {
			agentClient.releasePrefill(server, need.promptTokens, this._askId);
		}

		this._end();
	}

	private _end(): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		clearTimeout(this._silenceTimer);
		clearTimeout(this._timer);
		this._stopWaiting();
		if (this._askId !== undefined) {
			this._options.agentClient.closeTurn(this._askId);
		}
	}

	private _ask(): void {
		const {agentClient, server, need, since, maxWaitMs, clock} = this._options;
		const now = clock();
		const {promptTokens, priority, customer, weight, targetAt, maxPauseMs} =
			need;
		this._askedAt = now;
		clearTimeout(this._silenceTimer);
		this._silenceTimer = setTimeout(() => {
			this._silenceTimer = undefined;
			this._onSilent();
		}, prefillTimeoutMs);
		agentClient.askTurn(server, {
			type: 'turnAsk',
			askId: this._askId!,
			promptTokens,
			acceptsGrant: true,
			priority,
			...(customer !== undefined && {customer}),
			...(weight !== undefined && {weight}),
			...(targetAt !== undefined && {targetMs: Math.round(targetAt - now)}),
			...(maxPauseMs !== undefined && {maxPauseMs}),
			deadlineMs: Math.round(maxWaitMs(now)),
			waitedMs: Math.round(now - since),
		});
	}

	private _onReply({delayMs, tokensAhead, isQueued}: TurnReply): void {
		const {maxWaitMs, clock, agentClient} = this._options;
		if (this._isDue || this._isEnded) {
			return;
		}

		const now = clock();
		if (this._silenceTimer !== undefined) {
			clearTimeout(this._silenceTimer);
			this._silenceTimer = undefined;
			agentClient.onTurnAskEnded('answered', now - this._askedAt);
		}

		this._isKnown = true;
		this._estimateMs ??= delayMs;
		this._silentAsks = 0;
		this._expectedAt = now + delayMs;
		if (delayMs > maxWaitMs(now)) {
			this._setTooLate(delayMs);
		} else if (isQueued) {
			this._startWaiting();
			this._schedule(turnAskIntervalMs, () => {
				this._keepPlace();
			});
		} else if (delayMs < minPrefillDelayMs) {
			this._setDue('granted', tokensAhead);
		} else {
			this._startWaiting();
			this._schedule(delayMs, () => {
				this._setDue('delayed', tokensAhead);
			});
		}
	}

	/** Asks again, as the grant may be lost or the agent restarted, unless it is too late by now. */
	private _keepPlace(): void {
		const {since, maxWaitMs, hasSooner, onEnded, onMove, clock} = this._options;
		const now = clock();
		if (maxWaitMs(now) <= 0) {
			this._setTooLate(Math.max(0, this._expectedAt - now));
			return;
		}

		const wait = {startedAt: since, expectedAt: this._expectedAt};
		if (hasSooner(remainingTurnMs(wait, now))) {
			onEnded('moved', this._estimateMs);
			onMove();
			return;
		}

		this._schedule(turnAskIntervalMs, () => {
			this._keepPlace();
		});
		this._ask();
	}

	private _onSilent(): void {
		const {agentClient, clock} = this._options;
		const now = clock();
		agentClient.onTurnAskEnded('silent', now - this._askedAt);
		this._silentAsks++;
		if (!this._isWaiting) {
			this._setDue('unanswered');
		} else if (this._silentAsks >= maxSilentTurnAsks) {
			this._isKnown = false;
			this._schedule(Math.max(0, this._expectedAt - now), () => {
				this._setDue('unanswered');
			});
		}
	}

	private _setTooLate(delayMs: number): void {
		const {onEnded, onTooLate} = this._options;
		onEnded('tooLate', this._estimateMs);
		onTooLate(delayMs);
	}

	private _setDue(outcome: TurnOutcome, tokensAhead?: number): void {
		this._isDue = true;
		clearTimeout(this._silenceTimer);
		clearTimeout(this._timer);
		this._stopWaiting();
		this._options.onEnded(outcome, this._estimateMs);
		this._options.onDue(tokensAhead);
	}

	private _startWaiting(): void {
		if (!this._isWaiting) {
			const {waiting, adapter, onWait} = this._options;
			this._isWaiting = true;
			waiting.add(adapter);
			onWait();
		}
	}

	private _stopWaiting(): void {
		if (this._isWaiting) {
			const {waiting, adapter} = this._options;
			this._isWaiting = false;
			waiting.remove(adapter);
		}
	}

	/** Replaces the timer. A queued prompt's timer ends no later than its time to wait. */
	private _schedule(delayMs: number, callback: () => void): void {
		const {maxWaitMs, clock} = this._options;
		clearTimeout(this._timer);
		this._timer = setTimeout(
			callback,
			Math.min(delayMs, Math.max(0, maxWaitMs(clock()))),
		);
	}
}

/**
 * Returns what an agent orders a request's prompt by. A target that is no earlier than the time limit says nothing, and
 * neither does that of a response that has begun.
 */
export function createTurnNeed({
	route,
	customer,
	promptTokens,
	arrivedAt,
	hasBegun,
}: {
	readonly route: RouteRule;
	readonly customer: CustomerRule | undefined;
	readonly promptTokens: number;
	readonly arrivedAt: number;
	readonly hasBegun: boolean;
}): TurnNeed {
	const {targetMs, timeoutMs, maxPauseMs} = route;
	return {
		promptTokens,
		priority: customer?.priority ?? route.priority,
		customer: customer?.name,
		weight: customer && tokensPerSecond(customer),
		targetAt:
			targetMs < timeoutMs && !hasBegun ? arrivedAt + targetMs : undefined,
		...(maxPauseMs !== undefined && {maxPauseMs}),
	};
}

/** Returns the customer's rate in tokens per second; undefined if it has no limit. */
function tokensPerSecond(customer: CustomerRule): number | undefined {
	const {unitsPerSecond, isMeteredInTokens, plainTokens} = customer;
	const rate = unitsPerSecond * (isMeteredInTokens ? 1 : plainTokens);
	return rate > 0 ? rate : undefined;
}
