/**
 * Remembers which attempts reached this agent, so that each runs at most once.
 * Two generations bound the memory: an identifier is kept for one to two times `memoryMs`,
 * longer than any caller's deadline.
 */
export class AttemptRegistry {
	static create(memoryMs: number): AttemptRegistry {
		return new AttemptRegistry(memoryMs);
	}

	private _present = new Set<string>();
	private _previous = new Set<string>();
	private _rotatedAt = 0;

	private constructor(private readonly _memoryMs: number) {}

	/** Notes an attempt. Returns false where it was here before. */
	admit(attemptId: string, now: number): boolean {
		this._rotate(now);
		if (this._present.has(attemptId) || this._previous.has(attemptId)) {
			return false;
		}

		this._present.add(attemptId);
		return true;
	}

	private _rotate(now: number): void {
		if (now - this._rotatedAt < this._memoryMs) {
			return;
		}

		this._previous = this._present;
		this._present = new Set();
		this._rotatedAt = now;
	}
}
