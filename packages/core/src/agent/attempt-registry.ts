/**
 * Remembers the attempts that reached this agent, so that each runs at most once.
 * Two generations bound the memory: an ID is kept for one to two times `retentionMs`,
 * which is longer than any caller's deadline.
 */
export class AttemptRegistry {
	static create(retentionMs: number): AttemptRegistry {
		return new AttemptRegistry(retentionMs);
	}

	private _current = new Set<string>();
	private _previous = new Set<string>();
	private _rotatedAt = 0;

	private constructor(private readonly _retentionMs: number) {}

	/** Registers an attempt. Returns false if it is already registered. */
	register(attemptId: string, now: number): boolean {
		this._rotate(now);
		if (this._current.has(attemptId) || this._previous.has(attemptId)) {
			return false;
		}

		this._current.add(attemptId);
		return true;
	}

	private _rotate(now: number): void {
		if (now - this._rotatedAt < this._retentionMs) {
			return;
		}

		this._previous = this._current;
		this._current = new Set();
		this._rotatedAt = now;
	}
}
