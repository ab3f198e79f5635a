import {setTimeout as delay} from 'node:timers/promises';
import {shutdownLeaveMs, type ShutdownProgress} from '@balsamtray/core';
import {graceMarginMs} from './constants.js';
import type {Ingress} from './ingress.js';

export type EntryShutdownOptions = {
	readonly clock: () => number;
	/** Time from the signal to stop until the process is ended, in milliseconds. */
	readonly graceMs: () => number;
	/** Whether another entry serves. */
	readonly hasOthers: () => boolean;
};

/** Time between two looks at what still runs, in milliseconds. */
const pollIntervalMs = 50;

/** Lets callers go elsewhere and finishes what runs. */
export class EntryShutdown {
	static create(options: EntryShutdownOptions): EntryShutdown {
		return new EntryShutdown(options);
	}

	private _startedAt: number | undefined;

	private constructor(private readonly _options: EntryShutdownOptions) {}

	/** How far the shutdown is, undefined before it. */
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

	/** Resolves when nothing runs or the time is over. */
	async run(ingress: Ingress): Promise<void> {
		const {clock, hasOthers} = this._options;
		this._startedAt ??= clock();
		const endAt = this._startedAt + this._shutdownMs;
		await delay(shutdownLeaveMs);
		// A connection that is closed in one round has a round's time before the process ends.
		while (
			clock() < endAt &&
			(ingress.running > 0 || ingress.connections > 0)
		) {
			if (hasOthers()) {
				ingress.stopListening();
			}

			ingress.closeIdle();
			// Looks again until nothing runs.
			// eslint-disable-next-line no-await-in-loop
			await delay(pollIntervalMs);
		}
	}

	/** Time from the signal to stop until the process ends by itself. */
	private get _shutdownMs(): number {
		return this._options.graceMs() - graceMarginMs;
	}
}
