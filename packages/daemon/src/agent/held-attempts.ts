import type {Tracer, Span} from '../common/types.js';
import type {DispatchExchange} from './dispatch-exchange.js';

/** An attempt that waits or runs, with all that the task holds for it. */
export type HeldAttempt = {
	readonly exchange: DispatchExchange;
	/** Whole time at the agent. */
	readonly span: Span;
	/** Time until the attempt starts to run. */
	readonly waitSpan: Span;
	/** Stops the call to the backend server. */
	readonly controller: AbortController;
	isRunning: boolean;
};

/** The attempts that the agent holds, and the bytes of their bodies. */
export class HeldAttempts {
	static create(tracer: Tracer): HeldAttempts {
		return new HeldAttempts(tracer);
	}

	private readonly _attempts = new Map<string, HeldAttempt>();
	private _bodyBytes = 0;

	private constructor(private readonly _tracer: Tracer) {}

	get bodyBytes(): number {
		return this._bodyBytes;
	}

	has(attemptId: string): boolean {
		return this._attempts.has(attemptId);
	}

	get(attemptId: string): HeldAttempt | undefined {
		return this._attempts.get(attemptId);
	}

	all(): Iterable<HeldAttempt> {
		return this._attempts.values();
	}

	/** Holds an attempt. The span of its wait tells whether it waits for its turn or for a load. */
	hold(exchange: DispatchExchange, waitsFor: 'queue' | 'load_wait'): void {
		const {attemptId, traceparent} = exchange.dispatch;
		const span = this._tracer.startSpan('agent', traceparent);
		this._attempts.set(attemptId, {
			exchange,
			span,
			waitSpan: this._tracer.startSpan(waitsFor, span.traceparent),
			controller: new AbortController(),
			isRunning: false,
		});
		this._bodyBytes += exchange.body.length;
	}

	/** Marks an attempt as running. */
	begin(attemptId: string): HeldAttempt | undefined {
		const held = this._attempts.get(attemptId);
		if (held) {
			held.isRunning = true;
			held.waitSpan.end('ok');
		}

		return held;
	}

	/** Lets an attempt go that has ended. */
	release(attemptId: string, outcome: string): void {
		const held = this._attempts.get(attemptId);
		if (!held) {
			return;
		}

		this._attempts.delete(attemptId);
		this._bodyBytes -= held.exchange.body.length;
		if (!held.isRunning) {
			held.waitSpan.end(outcome);
		}

		held.span.end(outcome);
	}
}
