/** A request in the engine's batch. */
export type BatchJob = {
	readonly id: string;
	/** Lower values run first. */
	readonly priority: number;
	/** Steps before the first token. */
	readonly prefillSteps: number;
	/** Number of tokens to generate. */
	readonly tokens: number;
};

/** Output of one step of the batch. */
export type StepResult = {
	/** Jobs that produced a token, with the token's number from 1. */
	readonly tokens: ReadonlyArray<{readonly id: string; readonly token: number}>;
	readonly completed: readonly string[];
};

/** Settings of a batch. */
export type BatchOptions = {
	/** Time of a step with one running request, in milliseconds. */
	readonly tokenMs: number;
	readonly maxRunning: number;
};

type Running = {readonly job: BatchJob; readonly step: number};

/** Relative increase of the step time for each additional running request. */
const slowdownPerRequest = 0.02;

/**
 * Simulates continuous batching: each step produces one token per running request, and waiting requests join between
 * steps.
 */
export class Batch {
	static create(options: BatchOptions): Batch {
		return new Batch(options);
	}

	private readonly _options: BatchOptions;
	private readonly _running = new Map<string, Running>();
	private _waiting: readonly BatchJob[] = [];

	private constructor(options: BatchOptions) {
		this._options = options;
	}

	get runningCount(): number {
		return this._running.size;
	}

	get waitingCount(): number {
		return this._waiting.length;
	}

	isRunning(id: string): boolean {
		return this._running.has(id);
	}

	runningIds(): readonly string[] {
		return [...this._running.keys()];
	}

	/** Duration of the next step, in milliseconds. */
	stepMs(): number {
		const others = Math.max(0, this._running.size - 1);
		return this._options.tokenMs * (1 + slowdownPerRequest * others);
	}

	add(job: BatchJob): void {
		this._waiting = [...this._waiting, job].toSorted(
			(a, b) => a.priority - b.priority,
		);
		this._admitWaiting();
	}

	remove(id: string): void {
		this._waiting = this._waiting.filter(job => job.id !== id);
		this._running.delete(id);
		this._admitWaiting();
	}

	step(): StepResult {
		const tokens: Array<{readonly id: string; readonly token: number}> = [];
		const completed: string[] = [];
		for (const [id, {job, step}] of this._running) {
			const token = step + 1 - job.prefillSteps;
			this._running.set(id, {job, step: step + 1});
			if (token >= 1) {
				tokens.push({id, token});
			}

			if (token >= job.tokens) {
				completed.push(id);
				this._running.delete(id);
			}
		}

		this._admitWaiting();
		return {tokens, completed};
	}

	clear(): void {
		this._running.clear();
		this._waiting = [];
	}

	/** Moves waiting jobs into the batch while it has room. */
	private _admitWaiting(): void {
		const free = this._options.maxRunning - this._running.size;
		const next = this._waiting.slice(0, Math.max(0, free));
		this._waiting = this._waiting.slice(next.length);
		for (const job of next) {
			this._running.set(job.id, {job, step: 0});
		}
	}
}
