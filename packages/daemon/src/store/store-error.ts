/** What is known of a write after its call failed. */
export type WriteOutcome =
	/** Surely not written, or nothing was to be written. */
	| 'notWritten'
	/** The write may have taken effect or may still do so. */
	| 'unknown';

/** A call of the table service or the object store that got no good answer. */
export class StoreError extends Error {
	static create(
		peer: StorePeer,
		outcome: WriteOutcome,
		message: string,
		cause?: unknown,
	): StoreError {
		return new StoreError(peer, outcome, message, cause);
	}

	private constructor(
		readonly peer: StorePeer,
		readonly outcome: WriteOutcome,
		message: string,
		cause: unknown,
	) {
		super(message, {cause});
		this.name = 'StoreError';
	}

	get step(): 'store' {
		return 'store';
	}
}

/** The services of the platform that keep what must last. */
export type StorePeer = 'table service' | 'object store';
