import type {BackendHealth} from '@balsamtray/core';
import type {Clock} from '../common/types.js';
import {healthIntervalMs} from './constants.js';

/** What a health monitor works with. */
export type HealthMonitorOptions = {
	readonly ask: () => Promise<BackendHealth>;
	readonly clock: Clock;
	readonly onHealthy: (health: BackendHealth, askedAt: number) => void;
	readonly onUnreachable: () => void;
};

/** Asks the backend server for its health at an interval and whenever told. */
export class HealthMonitor {
	static create(options: HealthMonitorOptions): HealthMonitor {
		return new HealthMonitor(options);
	}

	private _timer: NodeJS.Timeout | undefined;
	private _lastQuestion = 0;
	private _isStopped = false;

	private constructor(private readonly _options: HealthMonitorOptions) {}

	/** Asks now. An answer to an earlier question that is still out is dropped. */
	async check(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		clearTimeout(this._timer);
		this._lastQuestion++;
		const question = this._lastQuestion;
		const {ask, clock, onHealthy, onUnreachable} = this._options;
		const askedAt = clock();
		const health = await answerOf(ask);
		if (question !== this._lastQuestion || this._isStopped) {
			return;
		}

		this._timer = setTimeout(() => {
			void this.check();
		}, healthIntervalMs);
		if (health) {
			onHealthy(health, askedAt);
		} else {
			onUnreachable();
		}
	}

	stop(): void {
		this._isStopped = true;
		clearTimeout(this._timer);
	}
}

async function answerOf(
	ask: () => Promise<BackendHealth>,
): Promise<BackendHealth | undefined> {
	try {
		return await ask();
	} catch {
		return undefined;
	}
}
