/** A call that was not written, since its caller no longer wanted it when a connection was ready. */
export class NotWrittenError extends Error {
	static create(): NotWrittenError {
		return new NotWrittenError('the call was not written');
	}

	override readonly name = 'NotWrittenError';
}
