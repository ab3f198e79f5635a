/** A part of a response is longer than any that a server in order sends, and may never end. */
export class EndlessResponseError extends Error {
	/** @param part the part of the response that is too long */
	static create(part: string, bytes: number): EndlessResponseError {
		return new EndlessResponseError(`no end of a ${part} after ${bytes} bytes`);
	}

	override readonly name = 'EndlessResponseError';

	private constructor(message: string) {
		super(message);
	}
}
