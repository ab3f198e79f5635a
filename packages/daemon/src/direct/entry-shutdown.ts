import {setTimeout as delay} from 'node:timers/promises';
import {shutdownLeaveMs, type ShutdownProgress} from '@balsamtray/core';
import {graceMarginMs} from './constants.js';
import type {Ingress} from './ingress.js';

export type EntryShutdownOptions = {
	readonly clock: () => number;
	/** Time from the stop signal until the platform kills the process, in milliseconds. */
	readonly graceMs: () => number;
	/** Whether another entry accepts requests. */
	readonly hasOthers: () => boolean;
};

/** Interval between checks for running requests, in milliseconds. */
const pollIntervalMs = 50;

/** Drains an entry: moves callers to other entries and waits for running requests. */
export class EntryShutdown {
	static create(options: EntryShutdownOptions): EntryShutdown {
		return new EntryShutdown(options);
	}

	private _startedAt: number | undefined;

	private constructor(private readonly _options: EntryShutdownOptions) {}

	/** Progress of the shutdown; undefined before it starts. */
	get progress(): ShutdownProgress | undefined {
		if (this._startedAt === undefined) {
			return undefined;
		}

		const sinceMs = this._options.clock() - this._startedAt;
		return {
			sinceMs,
			leftMs: this._shutdownMs - sinceMs,
			hasOthers: this._options.hasOthers(),
		};
	}

	/** Resolves when no request or connection is left, or shortly before the grace time ends, and says which. */
	async run(ingress: Ingress): Promise<'drained' | 'graceOver'> {
		const {clock, hasOthers} = this._options;
		this._startedAt ??= clock();
		const endAt = this._startedAt + this._shutdownMs;
		await delay(shutdownLeaveMs);
		// A connection closed in the last iteration still gets one poll interval to finish before the process exits.
		while (
			clock() < endAt &&
			(ingress.running > 0 || ingress.connections > 0)
		) {
			if (hasOthers()) {
				ingress.stopListening();
			}

			ingress.closeIdle();
			// Polls until no request runs.
			// eslint-disable-next-line no-await-in-loop
			await delay(pollIntervalMs);
		}

		return ingress.running === 0 ? 'drained' : 'graceOver';
	}

	/** Time from the stop signal until the process exits by itself, in milliseconds. */
	private get _shutdownMs(): number {
		return this._options.graceMs() - graceMarginMs;
	}
}
