import {
	setImmediate as nextTurn,
	setTimeout as delay,
} from 'node:timers/promises';
import {
	EntryDrain,
	shutdownFirstRequestMs,
	type DrainStep,
	type RouteKind,
} from '@balsamtray/core';
import {graceMarginMs} from './constants.js';
import type {Ingress} from './ingress.js';

export type EntryShutdownOptions = {
	readonly clock: () => number;
	/** Time from the stop signal until the platform kills the process, in milliseconds. */
	readonly graceMs: () => number;
	/** Whether another entry accepts requests. */
	readonly hasOthers: () => boolean;
};

/** Why a shutdown ended: nothing was left, or the grace time ended before. */
export type ShutdownEnd = Extract<DrainStep, 'drained' | 'graceOver'>;

/** Interval between looks at what is left, in milliseconds. */
const pollIntervalMs = 50;

/** Minimum turns of the event loop in which a new connection is accepted and its first request is read. */
const turnsUntilRead = 2;

/** Maximum turns in which connections are accepted: the number that the system lets wait. */
const maxAcceptTurns = 1024;

/**
 * Longest turn of the event loop after which no connection counts as waiting, in milliseconds. Connections that come while
 * a turn handles other events are accepted in the next one. Turns without other work take some hundredths.
 */
const quietTurnMs = 1;

/** Maximum time for which a quiet turn is awaited, in milliseconds: a part of the margin before the grace time ends. */
const maxQuietWaitMs = 100;

/**
 * Minimum time for which requests are held before the entry stops listening, in milliseconds. Callers that were answered
 * just before open their next connections meanwhile: some round trips within a region.
 */
const minHoldMs = 20;

/** Maximum time for which requests are held before the entry stops listening, in milliseconds. */
const maxHoldMs = 100;

/**
 * Longest turn of the event loop after which the listening socket is closed, in milliseconds. The system resets connections
 * that it has taken since the turn looked for some; a turn without work takes some hundredths.
 */
const closingTurnMs = 0.25;

/** Maximum time until the last responses are written, in milliseconds. */
const maxFlushMs = 100;

/** Drains an entry: moves callers to other entries and waits for running requests. */
export class EntryShutdown {
	static create(options: EntryShutdownOptions): EntryShutdown {
		return new EntryShutdown(options);
	}

	private _drain: EntryDrain | undefined;

	private constructor(private readonly _options: EntryShutdownOptions) {}

	get isStopping(): boolean {
		return this._drain !== undefined;
	}

	/** Whether the process is about to exit. */
	get hasEnded(): boolean {
		return this._drain?.hasEnded ?? false;
	}

	/** Whether a request is taken that arrives now. */
	accepts(kind: RouteKind): boolean {
		const {clock, hasOthers} = this._options;
		return this._drain?.accepts(kind, hasOthers(), clock()) ?? true;
	}

	/** Resolves when no request or connection is left and none can arrive, or shortly before the grace time ends. */
	async run(ingress: Ingress): Promise<ShutdownEnd> {
		const {clock, graceMs, hasOthers} = this._options;
		this._drain ??= EntryDrain.create(graceMs() - graceMarginMs, clock());
		for (;;) {
			const {running, connections, isListening} = ingress;
			const load = {running, connections, isListening};
			const step = this._drain.next(load, hasOthers(), clock());
			if (step === 'drained' || step === 'graceOver') {
				return step;
			}

			if (step === 'stopListening') {
				// eslint-disable-next-line no-await-in-loop
				await this._stopListening(ingress);
			}

			if (step !== 'wait') {
				ingress.closeIdle(shutdownFirstRequestMs);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(pollIntervalMs);
			// Timers come first after a stall, before the requests that have arrived meanwhile.
			// eslint-disable-next-line no-await-in-loop
			await this._readArrived(ingress);
		}
	}

	/** Ends what still runs when the process exits. Resolves when the last responses are written, or after some time. */
	async end(ingress: Ingress): Promise<void> {
		const {clock} = this._options;
		const endAt = clock() + maxFlushMs;
		await this._readArrived(ingress);
		// The exit would reset connections that come later.
		await this._stopListening(ingress, endAt);
		ingress.endRunning();
		const isAwaited = () =>
			ingress.running > 0 || ingress.hasUnused(shutdownFirstRequestMs);
		while (isAwaited() && clock() < endAt) {
			// eslint-disable-next-line no-await-in-loop
			await delay(pollIntervalMs / 5);
		}

		ingress.cutUnframed();
	}

	/**
	 * Stops listening in a turn of the event loop that has just found no connection to accept, since the system resets those
	 * that wait when the listening socket is closed. Requests are held until then: callers that are refused come back at
	 * once, so that some connection would always be on its way.
	 */
	private async _stopListening(
		ingress: Ingress,
		latestAt = this._options.clock() + maxHoldMs,
	): Promise<void> {
		if (!ingress.isListening) {
			return;
		}

		const {clock} = this._options;
		const release = ingress.holdRequests();
		const quietAt = clock() + minHoldMs;
		let isQuiet = false;
		let now = clock();
		while (now < quietAt || (!isQuiet && now < latestAt)) {
			const {accepted} = ingress;
			const startedAt = now;
			// eslint-disable-next-line no-await-in-loop
			await nextTurn();
			now = clock();
			isQuiet =
				ingress.accepted === accepted && now - startedAt <= closingTurnMs;
		}

		ingress.stopListening();
		release();
	}

	/** Accepts the connections that wait for it and reads what they sent. A turn of the event loop accepts one of them. */
	private async _readArrived(ingress: Ingress): Promise<void> {
		const {clock} = this._options;
		const quietBy = clock() + maxQuietWaitMs;
		let isAccepting = true;
		for (
			let i = 0;
			i < turnsUntilRead || (isAccepting && i < maxAcceptTurns);
			i++
		) {
			const {accepted} = ingress;
			const startedAt = clock();
			// eslint-disable-next-line no-await-in-loop
			await nextTurn();
			const now = clock();
			const isBusy = now - startedAt > quietTurnMs;
			isAccepting = ingress.accepted > accepted || (isBusy && now < quietBy);
		}
	}
}
