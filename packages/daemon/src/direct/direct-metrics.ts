import {monitorEventLoopDelay} from 'node:perf_hooks';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {RequestEvent} from './log-events.js';
import {bucketBounds, metricDefinitions} from './metric-definitions.js';
import type {TextResponse} from './text-server.js';

const nanosecondsPerSecond = 1e9;

/** Values that an entry or an agent shows as gauges. */
export type DirectGauges = {
	/** Memory that is kept for callers, in bytes, and their connections. */
	readonly callerMemory?: () => number;
	readonly callerConnections?: () => number;
	/** Number of waiting requests. */
	readonly waiting?: () => number;
	/** Number of quarantined parts of prompts. */
	readonly quarantinedParts?: () => number;
	/** Number of prompts that wait for their turn at the engine. */
	readonly waitingPrompts?: () => number;
	/** Estimated prefill rate of the engine, in tokens per millisecond. */
	readonly prefillTokensPerMs?: () => number;
	/** Number of duties for which the entry may act. */
	readonly dutiesHeld?: () => number;
	/** Estimated concurrent loads that the weight store serves at full speed. */
	readonly loadLimit?: () => number;
};

/** Metrics of an entry or agent, rendered in the Prometheus text format. */
export class DirectMetrics {
	/** @param gauges functions that return the current values of gauges; the others are not served */
	static create(gauges: DirectGauges): DirectMetrics {
		return new DirectMetrics(gauges);
	}

	private readonly _registry = new Registry();
	private readonly _requests = this._counter(metricDefinitions.requests);
	private readonly _sends = this._counter(metricDefinitions.sends);
	private readonly _retries = this._counter(metricDefinitions.retries);
	private readonly _orders = this._counter(metricDefinitions.orders);
	private readonly _engineChoices = this._counter(
		metricDefinitions.engineChoices,
	);

	private readonly _suspensions = this._counter(metricDefinitions.suspensions);
	private readonly _endlessResponses = this._counter(
		metricDefinitions.endlessResponses,
	);

	private readonly _closedConnections = this._counter(
		metricDefinitions.closedConnections,
	);

	private readonly _usageWindows = this._counter(
		metricDefinitions.usageWindows,
	);

	private readonly _turns = this._counter(metricDefinitions.turns);
	private readonly _turnWait = this._histogram(metricDefinitions.turnWait);
	private readonly _wait = this._histogram(metricDefinitions.wait);
	private readonly _waitCauses = this._counter(metricDefinitions.waitCauses);
	private readonly _quota = this._histogram(metricDefinitions.quota);
	private readonly _firstByte = this._histogram(metricDefinitions.firstByte);
	private readonly _pause = this._histogram(metricDefinitions.pause);
	private readonly _storeCall = this._histogram(metricDefinitions.storeCall);
	private readonly _peerCall = this._histogram(metricDefinitions.peerCall);
	private readonly _dutyChanges = this._counter(metricDefinitions.dutyChanges);
	private readonly _dutyGap = this._histogram(metricDefinitions.dutyGap);
	private readonly _limitAsks = this._counter(metricDefinitions.limitAsks);
	private readonly _dutyCalls = this._counter(metricDefinitions.dutyCalls);
	private readonly _proofAge = this._histogram(metricDefinitions.proofAge);

	private constructor({
		callerMemory,
		callerConnections,
		waiting,
		quarantinedParts,
		waitingPrompts,
		prefillTokensPerMs,
		loadLimit,
		dutiesHeld,
	}: DirectGauges) {
		const delays = monitorEventLoopDelay();
		delays.enable();
		if (callerMemory !== undefined) {
			this._gauge(metricDefinitions.callerMemory, callerMemory);
		}

		if (callerConnections !== undefined) {
			this._gauge(metricDefinitions.callerConnections, callerConnections);
		}

		if (waiting !== undefined) {
			this._gauge(metricDefinitions.waiting, waiting);
		}

		if (quarantinedParts !== undefined) {
			this._gauge(metricDefinitions.quarantinedParts, quarantinedParts);
		}

		if (waitingPrompts !== undefined) {
			this._gauge(metricDefinitions.waitingPrompts, waitingPrompts);
		}

		if (prefillTokensPerMs !== undefined) {
			this._gauge(metricDefinitions.prefillRate, prefillTokensPerMs);
		}

		if (loadLimit !== undefined) {
			this._gauge(metricDefinitions.loadLimit, loadLimit);
		}

		if (dutiesHeld !== undefined) {
			this._gauge(metricDefinitions.dutiesHeld, dutiesHeld);
		}

		this._gauge(metricDefinitions.loopDelay, () => {
			const delay = delays.percentile(99) / nanosecondsPerSecond;
			delays.reset();
			return delay;
		});
	}

	noteRequest(event: RequestEvent): void {
		const {status, reason, waitedMs, waitedFor, firstByteMs} = event;
		this._requests.inc({
			status: status.toString(),
			reason: reason ?? 'answered',
		});
		if (waitedMs !== undefined) {
			this._wait.observe({cause: waitedFor ?? 'nothing'}, waitedMs / 1000);
		}

		for (const [cause, ms] of Object.entries(event.waits ?? {})) {
			this._waitCauses.inc({cause}, ms / 1000);
		}

		if (firstByteMs !== undefined) {
			this._firstByte.observe(firstByteMs / 1000);
			this._pause.observe((event.longestPauseMs ?? 0) / 1000);
		}

		if (event.chosenBy !== undefined) {
			this._engineChoices.inc({rule: event.chosenBy});
		}

		if (event.proofAgeMs !== undefined) {
			this._proofAge.observe(event.proofAgeMs / 1000);
		}
	}

	/** @param outcome one of a fixed set of words, which bounds the label's cardinality */
	noteAttempt(service: string, outcome: string): void {
		this._sends.inc({service, outcome});
	}

	/** @param outcome whether the limit on retries allowed one, or one that was taken is not sent */
	noteRetry(service: string, outcome: 'taken' | 'refused' | 'returned'): void {
		this._retries.inc({service, outcome});
	}

	noteSuspension(kind: 'valid' | 'invalid'): void {
		this._suspensions.inc({kind});
	}

	/** @param outcome what became of a request that asked for its share of a server's limit */
	noteLimitAsk(outcome: 'granted' | 'refused' | 'unanswered' | 'closed'): void {
		this._limitAsks.inc({outcome});
	}

	/** @param reason one of a fixed set of words */
	noteClosedConnection(reason: string): void {
		this._closedConnections.inc({reason});
	}

	noteEndlessResponse(): void {
		this._endlessResponses.inc();
	}

	noteQuota(outcome: string, durationMs: number): void {
		this._quota.observe({outcome}, durationMs / 1000);
	}

	/** @param kind `rate` for quota queries to entries, `turn` for prefill queries to agents */
	noteQuery(
		kind: 'rate' | 'turn' | 'stream',
		outcome: string,
		durationMs: number,
	): void {
		this._peerCall.observe({kind, outcome}, durationMs / 1000);
	}

	/** @param outcome how a prompt's wait for its turn at an engine ended */
	noteTurn(outcome: string): void {
		this._turns.inc({outcome});
	}

	/** Records how long a prompt waited until this agent granted its turn. */
	noteGrant(waitedMs: number): void {
		this._turnWait.observe(waitedMs / 1000);
	}

	noteUsageWindow(outcome: 'reported' | 'late' | 'missed'): void {
		this._usageWindows.inc({outcome});
	}

	noteStoreRead(table: string, outcome: string, durationMs: number): void {
		this._storeCall.observe({table, outcome}, durationMs / 1000);
	}

	/** @param withoutHolderMs time without a holder before; undefined if unknown, or if the right was lost */
	noteDutyChange(
		duty: string,
		change: string,
		withoutHolderMs: number | undefined,
	): void {
		this._dutyChanges.inc({duty, change});
		if (withoutHolderMs !== undefined) {
			this._dutyGap.observe({duty}, withoutHolderMs / 1000);
		}
	}

	noteDutyCall(duty: string, outcome: string): void {
		this._dutyCalls.inc({duty, outcome});
	}

	noteOrder(operation: string, outcome: string): void {
		this._orders.inc({operation, outcome});
	}

	async render(): Promise<TextResponse> {
		return {
			status: 200,
			contentType: this._registry.contentType,
			body: await this._registry.metrics(),
		};
	}

	private _counter({name, help, labels}: Definition): Counter {
		return new Counter({
			name,
			help,
			labelNames: labels,
			registers: [this._registry],
		});
	}

	private _histogram({name, help, labels}: Definition): Histogram {
		return new Histogram({
			name,
			help,
			labelNames: labels,
			buckets: [...bucketBounds],
			registers: [this._registry],
		});
	}

	private _gauge({name, help}: Definition, read: () => number): void {
		const gauge = new Gauge({
			name,
			help,
			registers: [this._registry],
			collect() {
				gauge.set(read());
			},
		});
	}
}

type Definition = {
	readonly name: string;
	readonly help: string;
	readonly labels: readonly string[];
};
