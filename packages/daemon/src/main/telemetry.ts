import process from 'node:process';
import type {Telemetry} from '../common/types.js';
import type {CommonProcessSettings} from '../settings/settings.js';
import {JsonLogger} from '../telemetry/logger.js';
import {noMetrics, StatsdMetrics} from '../telemetry/metrics.js';
import {noTracer, OpenTelemetryTracer} from '../telemetry/tracer.js';

/** Telemetry of a process. */
export type ProcessTelemetry = Telemetry & {
	/** Sends buffered metrics and spans, and closes the exporters. */
	close(): Promise<void>;
};

function createTracer(
	settings: CommonProcessSettings,
): OpenTelemetryTracer | undefined {
	if (settings.traces === 'console') {
		return OpenTelemetryTracer.createForConsole(settings.hostId);
	}

	return settings.traces === 'otlp' && settings.otlpUrl !== undefined
		? OpenTelemetryTracer.createForOtlp(settings.hostId, settings.otlpUrl)
		: undefined;
}

/** Creates the logger, metrics and tracer that the settings select. */
export function createTelemetry(
	settings: CommonProcessSettings,
): ProcessTelemetry {
	const logger = JsonLogger.create(settings.logLevel, settings.hostId, line => {
		process.stdout.write(`${line}\n`);
	});
	const {statsdAddress} = settings;
	const statsd =
		statsdAddress &&
		StatsdMetrics.create(statsdAddress, {host: settings.hostId}, err => {
			logger.warn('metrics.failed', {message: err.message});
		});
	const tracer = createTracer(settings);
	return {
		logger,
		metrics: statsd ?? noMetrics,
		tracer: tracer ?? noTracer,
		async close() {
			await statsd?.close();
			await tracer?.close();
		},
	};
}
