import type {Slot} from './adapter-slots.js';
import type {QueuedRequest} from './request-queue.js';

/** A request that was sent to the backend server and has not ended yet. */
export type RunningRequest = {
	readonly request: QueuedRequest;
	/** Slot of its adapter version. Absent for a plain service. */
	readonly slot?: Slot;
	readonly startedAt: number;
	readonly isCancelled: boolean;
	/** Tokens generated so far. */
	readonly tokens: number;
};

/** Tracks the requests that run on the backend server. */
export class RunningRequests {
	static create(): RunningRequests {
		return new RunningRequests();
	}

	private readonly _byAttempt = new Map<string, RunningRequest>();

	private constructor() {}

	/** Number of requests whose streams have not ended, including cancelled ones. */
	get size(): number {
		return this._byAttempt.size;
	}

	add(running: RunningRequest): void {
		this._byAttempt.set(running.request.dispatch.attemptId, running);
	}

	/** Marks a request as cancelled. Returns false if it is not running or is already cancelled. */
	cancel(attemptId: string): boolean {
		const running = this._byAttempt.get(attemptId);
		if (!running || running.isCancelled) {
			return false;
		}

		this._byAttempt.set(attemptId, {...running, isCancelled: true});
		return true;
	}

	addTokens(attemptId: string, tokens: number): void {
		const running = this._byAttempt.get(attemptId);
		if (running) {
			this._byAttempt.set(attemptId, {
				...running,
				tokens: running.tokens + tokens,
			});
		}
	}

	/** Removes and returns a request that has ended. */
	take(attemptId: string): RunningRequest | undefined {
		const running = this._byAttempt.get(attemptId);
		this._byAttempt.delete(attemptId);
		return running;
	}

	fingerprints(): readonly string[] {
		return [...this._byAttempt.values()].map(
			({request}) => request.dispatch.fingerprint,
		);
	}
}
