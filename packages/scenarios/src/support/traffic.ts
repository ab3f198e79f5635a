import type {TrackedCall} from './tracked-call.js';

/** Open-loop load: sends calls at a constant rate, regardless of pending responses, until stopped. */
export class Traffic {
	static start(
		callsPerSecond: number,
		send: (number: number) => Promise<TrackedCall>,
	): Traffic {
		return new Traffic(callsPerSecond, send);
	}

	private readonly _endedCalls: TrackedCall[] = [];
	private readonly _pending = new Set<Promise<void>>();
	private readonly _timer: NodeJS.Timeout;

	private constructor(
		callsPerSecond: number,
		send: (number: number) => Promise<TrackedCall>,
	) {
		const startedAt = Date.now();
		let sentCount = 0;
		// Sends all calls due since the last tick, so a late timer does not reduce the rate.
		this._timer = setInterval(
			() => {
				const dueCount = ((Date.now() - startedAt) * callsPerSecond) / 1000;
				for (; sentCount < dueCount; sentCount++) {
					this._track(send(sentCount));
				}
			},
			Math.min(20, 1000 / callsPerSecond),
		);
	}

	/** Calls that have ended so far. */
	get endedCalls(): readonly TrackedCall[] {
		return this._endedCalls;
	}

	/** Stops sending, waits for the calls in flight and returns all calls. */
	async stop(): Promise<readonly TrackedCall[]> {
		clearInterval(this._timer);
		while (this._pending.size > 0) {
			// Calls may have been added during the wait.
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(this._pending);
		}

		return this._endedCalls;
	}

	private _track(call: Promise<TrackedCall>): void {
		const pending = this._storeResult(call);
		this._pending.add(pending);
		void pending.finally(() => {
			this._pending.delete(pending);
		});
	}

	private async _storeResult(call: Promise<TrackedCall>): Promise<void> {
		this._endedCalls.push(await call);
	}
}
