import {
	ROOT_CONTEXT,
	SpanStatusCode,
	defaultTextMapGetter,
	defaultTextMapSetter,
	trace,
	type Span as OtelSpan,
	type Tracer as OtelTracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider,
	BatchSpanProcessor,
	ConsoleSpanExporter,
	SimpleSpanProcessor,
	type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import type {Span, Tracer} from '../common/types.js';

const propagator = new W3CTraceContextPropagator();

/** Outcomes of successful spans. Any other outcome sets the span's status to error. */
const successOutcomes = new Set(['ok', 'answered', 'granted', 'reserved']);

/** Propagates the parent's trace context and records nothing. */
export const noTracer: Tracer = {
	startSpan: (_name, parentTraceparent) => ({
		traceparent: parentTraceparent ?? '',
		setAttribute() {
			// Nothing is recorded.
		},
		end() {
			// Nothing is recorded.
		},
	}),
};

/** Adapts an OpenTelemetry span to `Span`. */
class OpenTelemetrySpan implements Span {
	static create(span: OtelSpan): OpenTelemetrySpan {
		return new OpenTelemetrySpan(span);
	}

	private constructor(private readonly _span: OtelSpan) {}

	get traceparent(): string {
		const carrier: Record<string, string> = {};
		propagator.inject(
			trace.setSpan(ROOT_CONTEXT, this._span),
			carrier,
			defaultTextMapSetter,
		);
		return carrier.traceparent ?? '';
	}

	setAttribute(name: string, value: string | number | boolean): void {
		this._span.setAttribute(name, value);
	}

	end(outcome: string): void {
		this._span.setAttribute('outcome', outcome);
		if (!successOutcomes.has(outcome)) {
			this._span.setStatus({code: SpanStatusCode.ERROR, message: outcome});
		}

		this._span.end();
	}
}

/** Records spans with OpenTelemetry and propagates the W3C trace context. */
export class OpenTelemetryTracer implements Tracer {
	/** Creates a tracer that writes each span to the console when it ends. */
	static createForConsole(hostId: string): OpenTelemetryTracer {
		return new OpenTelemetryTracer(
			hostId,
			new SimpleSpanProcessor(new ConsoleSpanExporter()),
		);
	}

	/** Creates a tracer that sends spans in batches to an OTLP collector. */
	static createForOtlp(hostId: string, url: string): OpenTelemetryTracer {
		return new OpenTelemetryTracer(
			hostId,
			new BatchSpanProcessor(new OTLPTraceExporter({url: `${url}/v1/traces`})),
		);
	}

	private readonly _provider: BasicTracerProvider;
	private readonly _tracer: OtelTracer;

	private constructor(hostId: string, processor: SpanProcessor) {
		this._provider = new BasicTracerProvider({
			resource: resourceFromAttributes({
				'service.name': 'balsamtray',
				'host.id': hostId,
			}),
			spanProcessors: [processor],
		});
		this._tracer = this._provider.getTracer('balsamtray');
	}

	startSpan(name: string, parentTraceparent?: string): Span {
		const parent = propagator.extract(
			ROOT_CONTEXT,
			{traceparent: parentTraceparent},
			defaultTextMapGetter,
		);
		return OpenTelemetrySpan.create(this._tracer.startSpan(name, {}, parent));
	}

	/** Exports the remaining spans and shuts down. */
	async close(): Promise<void> {
		await this._provider.shutdown();
	}
}
