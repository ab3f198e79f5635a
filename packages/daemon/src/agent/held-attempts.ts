import type {Tracer, Span} from '../common/types.js';
import type {DispatchExchange} from './dispatch-exchange.js';

/** A waiting or running attempt and its resources. */
export type HeldAttempt = {
	readonly exchange: DispatchExchange;
	/** Covers the total time at the agent. */
	readonly span: Span;
	/** Covers the time until the attempt starts to run. */
	readonly waitSpan: Span;
	/** Aborts the call to the backend server. */
	readonly controller: AbortController;
	isRunning: boolean;
};

/** The agent's waiting and running attempts, and the total size of their bodies. */
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

	/** Adds an attempt. The name of its wait span is the reason of the wait: the queue or an adapter load. */
	add(exchange: DispatchExchange, waitReason: 'queue' | 'load_wait'): void {
		const {attemptId, traceparent} = exchange.dispatch;
		const span = this._tracer.startSpan('agent', traceparent);
		this._attempts.set(attemptId, {
			exchange,
			span,
			waitSpan: this._tracer.startSpan(waitReason, span.traceparent),
			controller: new AbortController(),
			isRunning: false,
		});
		this._bodyBytes += exchange.body.length;
	}

	/** Marks an attempt as running. */
	markRunning(attemptId: string): HeldAttempt | undefined {
		const held = this._attempts.get(attemptId);
		if (held) {
			held.isRunning = true;
			held.waitSpan.end('ok');
		}

		return held;
	}

	/** Removes an attempt that has ended and ends its spans with the outcome. */
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
