import type {TurnQueue} from '@balsamtray/core';
import type {
	PrefillQuery,
	PrefillRelease,
	PrefillReply,
	PrefillTaken,
} from '@balsamtray/protocol';
import type {Disposable} from '../common/types.js';
import {maxTurnCheckMs} from './constants.js';
import type {Endpoint} from './types.js';

export type AgentTurnsOptions = {
	readonly queue: TurnQueue;
	readonly clock: () => number;
	readonly send: (message: PrefillReply, to: Endpoint) => void;
	/** Called with the time that a granted prompt waited, in milliseconds. */
	readonly onGranted: (waitedMs: number) => void;
};

type Asker = {
	readonly endpoint: Endpoint;
	readonly askId: number;
	readonly askedAt: number;
};

/** Answers the entries' prompts that ask for their turn at the engine, and sends the grants when they are due. */
export class AgentTurns implements Disposable {
	static create(options: AgentTurnsOptions): AgentTurns {
		return new AgentTurns(options);
	}

	private readonly _askers = new Map<string, Asker>();
	private _timer: NodeJS.Timeout | undefined;

	private constructor(private readonly _options: AgentTurnsOptions) {}

	onAsk(message: PrefillQuery, from: Endpoint): void {
		const {queue, clock, send} = this._options;
		const {askId, promptTokens, targetMs, deadlineMs, waitedMs = 0} = message;
		const now = clock();
		if (message.acceptsGrant !== true) {
			const turn = queue.reserve(promptTokens, now);
			send({type: 'turnAnswer', askId, ...turn}, from);
			return;
		}

		const id = turnId(from, askId);
		const {priority, customer, weight} = message;
		const answer = queue.ask(
			{
				id,
				tokens: promptTokens,
				since: now - waitedMs,
				...(priority !== undefined && {priority}),
				...(customer !== undefined && {customer}),
				...(weight !== undefined && {weight}),
				...(targetMs !== undefined && {targetAt: now + targetMs}),
				...(deadlineMs !== undefined && {deadlineAt: now + deadlineMs}),
			},
			now,
		);
		if (answer.kind === 'granted') {
			const {tokensAhead} = answer;
			send({type: 'turnAnswer', askId, delayMs: 0, tokensAhead}, from);
			return;
		}

		if (!this._askers.has(id)) {
			this._askers.set(id, {endpoint: from, askId, askedAt: now - waitedMs});
		}

		this._grantDue();
		if (queue.isWaiting(id)) {
			const {delayMs, tokensAhead} = answer;
			send(
				{type: 'turnAnswer', askId, delayMs, tokensAhead, isQueued: true},
				from,
			);
		}
	}

	onReturn({askId, promptTokens}: PrefillRelease, from: Endpoint): void {
		const {queue, clock} = this._options;
		if (askId === undefined) {
			queue.cancelReservation(promptTokens, clock());
		} else {
			this._leave(promptTokens, turnId(from, askId), false);
		}

		this._grantDue();
	}

	onTaken({askId, promptTokens}: PrefillTaken, from: Endpoint): void {
		this._leave(promptTokens, turnId(from, askId), true);
	}

	dispose(): void {
		clearTimeout(this._timer);
	}

	private _leave(tokens: number, id: string, isSent: boolean): void {
		const {queue, clock} = this._options;
		queue.leave({id, tokens, isSent}, clock());
		this._askers.delete(id);
	}

	private _grantDue(): void {
		const {queue, clock, send, onGranted} = this._options;
		const now = clock();
		for (const {id, tokensAhead} of queue.takeDue(now)) {
			const asker = this._askers.get(id);
			if (asker !== undefined) {
				const {endpoint, askId, askedAt} = asker;
				send({type: 'turnAnswer', askId, delayMs: 0, tokensAhead}, endpoint);
				onGranted(now - askedAt);
			}
		}

		if (this._askers.size > queue.size) {
			for (const id of this._askers.keys()) {
				if (!queue.isWaiting(id)) {
					this._askers.delete(id);
				}
			}
		}

		this._schedule(now);
	}

	private _schedule(now: number): void {
		clearTimeout(this._timer);
		const dueMs = this._options.queue.nextDueMs(now);
		if (dueMs !== undefined) {
			this._timer = setTimeout(
				() => {
					this._grantDue();
				},
				Math.max(1, Math.min(dueMs, maxTurnCheckMs)),
			);
		}
	}
}

function turnId({host, port}: Endpoint, askId: number): string {
	return `${host}:${port}/${askId}`;
}
