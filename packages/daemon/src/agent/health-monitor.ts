import type {BackendHealth} from '@balsamtray/core';
import type {Clock} from '../common/types.js';
import {healthIntervalMs} from './constants.js';

/** Options of a health monitor. */
export type HealthMonitorOptions = {
	readonly fetchHealth: () => Promise<BackendHealth>;
	readonly clock: Clock;
	/** `askedAt` is the time at which the check was sent. */
	readonly onHealthy: (health: BackendHealth, askedAt: number) => void;
	readonly onUnreachable: () => void;
};

/** Checks the backend server's health periodically and on demand. */
export class HealthMonitor {
	static create(options: HealthMonitorOptions): HealthMonitor {
		return new HealthMonitor(options);
	}

	private _timer: NodeJS.Timeout | undefined;
	private _lastCheckId = 0;
	private _isStopped = false;

	private constructor(private readonly _options: HealthMonitorOptions) {}

	/** Starts a check now. The result of an earlier check that is still in flight is ignored. */
	async check(): Promise<void> {
		if (this._isStopped) {
			return;
		}

		clearTimeout(this._timer);
		this._lastCheckId++;
		const checkId = this._lastCheckId;
		const {fetchHealth, clock, onHealthy, onUnreachable} = this._options;
		const askedAt = clock();
		const health = await tryFetch(fetchHealth);
		if (checkId !== this._lastCheckId || this._isStopped) {
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

async function tryFetch(
	fetchHealth: () => Promise<BackendHealth>,
): Promise<BackendHealth | undefined> {
	try {
		return await fetchHealth();
	} catch {
		return undefined;
	}
}
