/** Questions by datagram that wait for their answers. */
export class OpenAsks<Answer> {
	/** @param timeoutMs after which a question has no answer */
	static create<Answer>(timeoutMs: number): OpenAsks<Answer> {
		return new OpenAsks(timeoutMs);
	}

	private readonly _open = new Map<number, (answer: Answer) => void>();
	private _nextId = 1;

	private constructor(private readonly _timeoutMs: number) {}

	/** Sends a question under an identifier. Resolves with undefined where no answer came in time. */
	async ask(send: (askId: number) => void): Promise<Answer | undefined> {
		const askId = this._nextId++;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this._open.delete(askId);
				resolve(undefined);
			}, this._timeoutMs);
			this._open.set(askId, answer => {
				clearTimeout(timer);
				this._open.delete(askId);
				resolve(answer);
			});
			send(askId);
		});
	}

	/** An answer came. One that is late or unknown changes nothing. */
	settle(askId: number, answer: Answer): void {
		this._open.get(askId)?.(answer);
	}
}
