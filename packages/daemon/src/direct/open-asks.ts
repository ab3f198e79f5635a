export type OpenAsksOptions = {
	/** Time after which a question has no answer, in milliseconds. */
	readonly timeoutMs: number;
	readonly clock: () => number;
	/** A question ended, after this many milliseconds. */
	readonly onTimed: (outcome: 'answered' | 'silent', forMs: number) => void;
};

/** Questions by datagram that wait for their answers. */
export class OpenAsks<Answer> {
	static create<Answer>(options: OpenAsksOptions): OpenAsks<Answer> {
		return new OpenAsks(options);
	}

	private readonly _open = new Map<number, (answer: Answer) => void>();
	private _nextId = 1;

	private constructor(private readonly _options: OpenAsksOptions) {}

	/** Sends a question under an identifier. Resolves with undefined where no answer came in time. */
	async ask(send: (askId: number) => void): Promise<Answer | undefined> {
		const {timeoutMs, clock, onTimed} = this._options;
		const askId = this._nextId++;
		const askedAt = clock();
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this._open.delete(askId);
				onTimed('silent', clock() - askedAt);
				resolve(undefined);
			}, timeoutMs);
			this._open.set(askId, answer => {
				clearTimeout(timer);
				this._open.delete(askId);
				onTimed('answered', clock() - askedAt);
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
