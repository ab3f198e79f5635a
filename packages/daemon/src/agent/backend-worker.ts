import type {AgentEvent, ServerStatus} from '@balsamtray/core';
import type {Clock, Telemetry} from '../common/types.js';
import type {BackendClient} from './backend-client.js';
import {tokenReportIntervalMs} from './constants.js';
import type {HeldAttempt, HeldAttempts} from './held-attempts.js';
import type {ResponseSink, CommandOf} from './types.js';

/** Options of a backend worker. */
export type BackendWorkerOptions = {
	readonly client: BackendClient;
	readonly attempts: HeldAttempts;
	readonly telemetry: Telemetry;
	readonly clock: Clock;
	/** Returns the agent's status, which is sent with each response. */
	readonly status: (servedName: string | undefined) => ServerStatus;
	readonly onEvent: (event: AgentEvent) => void;
};

/** Executes the core's commands on the backend server and reports their results as events. */
export class BackendWorker {
	static create(options: BackendWorkerOptions): BackendWorker {
		return new BackendWorker(options);
	}

	private constructor(private readonly _options: BackendWorkerOptions) {}

	async run(command: CommandOf<'runOnBackend'>): Promise<void> {
		const {attemptId, servedName, priority} = command;
		const {client, attempts, telemetry, onEvent} = this._options;
		const held = attempts.markRunning(attemptId);
		if (!held) {
			onEvent({type: 'answerFailed', attemptId, fault: 'rejected'});
			return;
		}

		const {exchange, span, controller} = held;
		const backendSpan = telemetry.tracer.startSpan('backend', span.traceparent);
		const outcome = await client.run(
			{
				attemptId,
				...(servedName !== undefined && {servedName}),
				priority,
				promptTokens: exchange.dispatch.promptTokens,
				call: exchange.call,
				body: exchange.body,
				traceparent: backendSpan.traceparent,
			},
			this._createSink(held, servedName),
			controller.signal,
		);
		if (outcome.kind === 'completed') {
			backendSpan.end('ok');
			exchange.end(outcome.usage);
			telemetry.metrics.increment('agent.answered');
			onEvent({type: 'answerCompleted', attemptId, usage: outcome.usage});
			attempts.release(attemptId, 'ok');
		} else {
			backendSpan.end(outcome.fault);
			onEvent({type: 'answerFailed', attemptId, fault: outcome.fault});
			// A cancelled attempt gets no refusal. Any other is kept until its refusal is sent.
			if (controller.signal.aborted) {
				attempts.release(attemptId, 'cancelled');
			}
		}
	}

	async load(command: CommandOf<'loadAdapter'>, bootId: string): Promise<void> {
		const {loadId, servedName, weights, timeoutMs} = command;
		const {client, telemetry, clock, onEvent} = this._options;
		const startedAt = clock();
		try {
			await client.load(servedName, weights, timeoutMs);
			telemetry.metrics.timing('agent.load', clock() - startedAt);
			onEvent({type: 'loadCompleted', loadId, bootId});
		} catch (error) {
			telemetry.metrics.increment('agent.load_failed');
			onEvent({type: 'loadFailed', loadId, reason: String(error)});
		}
	}

	async unload(command: CommandOf<'unloadAdapter'>): Promise<void> {
		const {loadId, servedName} = command;
		const {client, telemetry, onEvent} = this._options;
		try {
			await client.unload(servedName);
			telemetry.metrics.increment('agent.unload');
			onEvent({type: 'unloadCompleted', loadId});
		} catch (error) {
			onEvent({type: 'unloadFailed', loadId, reason: String(error)});
		}
	}

	private _createSink(
		{exchange}: HeldAttempt,
		servedName: string | undefined,
	): ResponseSink {
		const {clock, status, onEvent} = this._options;
		const {attemptId} = exchange.dispatch;
		let unreportedTokens = 0;
		let reportedAt = clock();
		return {
			begin(statusCode, contentType) {
				exchange.begin(statusCode, contentType, status(servedName));
			},
			write: async chunk => exchange.write(chunk),
			onTokens(tokens) {
				unreportedTokens += tokens;
				if (clock() - reportedAt >= tokenReportIntervalMs) {
					onEvent({
						type: 'tokensGenerated',
						attemptId,
						tokens: unreportedTokens,
					});
					unreportedTokens = 0;
					reportedAt = clock();
				}
			},
		};
	}
}
