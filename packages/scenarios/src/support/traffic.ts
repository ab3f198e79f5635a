import type {TrackedCall} from './tracked-call.js';

/** Sends calls at a steady rate, whether or not earlier ones were answered, until it is stopped. */
export class Traffic {
	static start(
		callsPerSecond: number,
		send: (number: number) => Promise<TrackedCall>,
	): Traffic {
		return new Traffic(callsPerSecond, send);
	}

	private readonly _done: TrackedCall[] = [];
	private readonly _pending = new Set<Promise<void>>();
	private readonly _timer: NodeJS.Timeout;

	private constructor(
		callsPerSecond: number,
		send: (number: number) => Promise<TrackedCall>,
	) {
		const startedAt = Date.now();
		let sent = 0;
		// Calls that a late timer missed are made up for.
		this._timer = setInterval(
			() => {
				const due = ((Date.now() - startedAt) * callsPerSecond) / 1000;
				for (; sent < due; sent++) {
					this._track(send(sent));
				}
			},
			Math.min(20, 1000 / callsPerSecond),
		);
	}

	/** Calls that have ended. */
	get done(): readonly TrackedCall[] {
		return this._done;
	}

	/** Sends no more and waits for the answers. */
	async stop(): Promise<readonly TrackedCall[]> {
		clearInterval(this._timer);
		while (this._pending.size > 0) {
			// Each wait may leave calls that came meanwhile.
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(this._pending);
		}

		return this._done;
	}

	private _track(call: Promise<TrackedCall>): void {
		const pending = this._collect(call);
		this._pending.add(pending);
		void pending.finally(() => {
			this._pending.delete(pending);
		});
	}

	private async _collect(call: Promise<TrackedCall>): Promise<void> {
		this._done.push(await call);
	}
}
