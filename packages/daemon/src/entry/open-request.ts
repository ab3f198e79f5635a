import type {Span, Tracer} from '../common/types.js';
import type {IncomingCall} from './types.js';

/** A request in flight with its trace spans. */
export class OpenRequest {
	static create(
		call: IncomingCall,
		tracer: Tracer,
		startedAt: number,
	): OpenRequest {
		return new OpenRequest(call, tracer, startedAt);
	}

	private readonly _span: Span;
	private readonly _steps = new Map<string, Span>();

	private constructor(
		readonly call: IncomingCall,
		private readonly _tracer: Tracer,
		readonly startedAt: number,
	) {
		this._span = _tracer.startSpan('entry', call.traceparent);
		this._span.setAttribute('request.id', call.requestId);
	}

	/** W3C trace context for calls on behalf of this request. */
	get traceparent(): string {
		return this._span.traceparent;
	}

	startStep(name: string): Span {
		const span = this._tracer.startSpan(name, this._span.traceparent);
		this._steps.set(name, span);
		return span;
	}

	endStep(name: string, outcome: string): void {
		this._steps.get(name)?.end(outcome);
		this._steps.delete(name);
	}

	/** Ends the open step spans and the span of the request. */
	end(outcome: string): void {
		for (const name of this._steps.keys()) {
			this.endStep(name, outcome);
		}

		this._span.end(outcome);
	}
}
