/** Whether a write took effect although its call failed. */
export type WriteOutcome =
	/** Nothing was written, or the call was a read. */
	| 'notWritten'
	/** The write may have taken effect or may still take effect. */
	| 'unknown';

/** Error of a call to the table service or the object store: no response, an error status or malformed data. */
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

	/** Processing step that failed, as logs and operators' results name it. */
	get step(): 'store' {
		return 'store';
	}
}

/** Storage services of the platform. */
export type StorePeer = 'table service' | 'object store';
