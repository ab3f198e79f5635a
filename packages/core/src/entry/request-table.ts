import type {Attempt, RequestState} from './request-state.js';

/** Open requests of an entry, indexed by request ID and attempt ID. */
export class RequestTable {
	static create(): RequestTable {
		return new RequestTable();
	}

	/** Suspects that wait for a server that runs no other suspect, in order of arrival. */
	readonly waitingSuspects = new Set<RequestState>();
	private readonly _requests = new Map<string, RequestState>();
	private readonly _attempts = new Map<string, RequestState>();
	/** Number of running suspects by server. */
	private readonly _suspectServers = new Map<string, number>();

	get size(): number {
		return this._requests.size;
	}

	all(): Iterable<RequestState> {
		return this._requests.values();
	}

	request(requestId: string): RequestState | undefined {
		return this._requests.get(requestId);
	}

	requestOfAttempt(attemptId: string): RequestState | undefined {
		return this._attempts.get(attemptId);
	}

	/** Servers that run a suspect. Other suspects avoid them. */
	suspectServers(): ReadonlySet<string> {
		return new Set(this._suspectServers.keys());
	}

	open(state: RequestState): void {
		this._requests.set(state.id, state);
	}

	close(state: RequestState): void {
		this._requests.delete(state.id);
		this.waitingSuspects.delete(state);
	}

	startAttempt(state: RequestState, attempt: Attempt): void {
		state.attempt = attempt;
		state.attempts++;
		this._attempts.set(attempt.id, state);
		if (attempt.isSuspect) {
			this._adjustSuspectCount(attempt.server, 1);
		}
	}

	/** Ends the attempt of the request and returns it. */
	endAttempt(state: RequestState): Attempt | undefined {
		const {attempt} = state;
		if (attempt === undefined) {
			return undefined;
		}

		state.attempt = undefined;
		this._attempts.delete(attempt.id);
		if (attempt.isSuspect) {
			this._adjustSuspectCount(attempt.server, -1);
		}

		return attempt;
	}

	private _adjustSuspectCount(server: string, change: number): void {
		const count = (this._suspectServers.get(server) ?? 0) + change;
		if (count > 0) {
			this._suspectServers.set(server, count);
		} else {
			this._suspectServers.delete(server);
		}
	}
}
