import {setTimeout as sleep} from 'node:timers/promises';
import {
	EntryCore,
	type EntryCommand,
	type EntryEvent,
	type EntryRequest,
	type Refusal,
	type ServerStatus,
} from '@balsamtray/core';
import type {Disposable} from '../common/types.js';
import {AttemptRunner} from './attempt-runner.js';
import {maxTickIntervalMs} from './constants.js';
import {digestOf} from './digest.js';
import {OpenRequest} from './open-request.js';
import {RateAndClaimCalls} from './rate-and-claim-calls.js';
import type {EntryStats, EntryTaskOptions, IncomingCall} from './types.js';

type FinalCommand = Extract<
	EntryCommand,
	{readonly type: 'finishAnswer' | 'refuse' | 'cutAnswer' | 'replayOutcome'}
>;

/** Runs `EntryCore`: passes it events and executes the commands that it returns. */
export class EntryTask {
	static create(options: EntryTaskOptions): EntryTask {
		return new EntryTask(options);
	}

	private readonly _core: EntryCore;
	private readonly _eventQueue: EntryEvent[] = [];
	private readonly _openRequests = new Map<string, OpenRequest>();
	private readonly _attempts: AttemptRunner;
	private readonly _calls: RateAndClaimCalls;
	private readonly _outcomeCounts = new Map<string, number>();
	private readonly _subscriptions: Disposable[] = [];
	private readonly _drainListeners = new Set<() => void>();
	private _timer: NodeJS.Timeout | undefined;
	private _isHandling = false;
	private _isStarted = false;
	private _isReady = false;
	private _isStopped = false;

	private constructor(private readonly _options: EntryTaskOptions) {
		const {hostId, region, config, clock, policy} = _options;
		this._core = EntryCore.create({
			entryId: hostId,
			region,
			view: () => config.view(),
			now: clock(),
			...(policy === undefined ? {} : {policy}),
		});
		const post = (event: EntryEvent) => {
			this._post(event);
		};

		this._attempts = AttemptRunner.create(_options, post);
		this._calls = RateAndClaimCalls.create(_options, post);
	}

	/** Whether `submit` may be called. Stays true during a shutdown, when submitted requests are refused. */
	get isServing(): boolean {
		return this._isStarted && this._options.config.isReady();
	}

	/** Whether load balancers may send new requests to this entry. */
	get isReady(): boolean {
		return this._isReady && this._options.config.isReady();
	}

	start(): void {
		const {config, membership} = this._options;
		this._subscriptions.push(
			config.onAdvanced(() => {
				this._post({type: 'configAdvanced'});
			}),
			membership.onChanged(hosts => {
				this._post({type: 'membershipChanged', hosts});
			}),
		);
		this._post({type: 'membershipChanged', hosts: membership.hosts()});
		this._isStarted = true;
		this._isReady = true;
	}

	/** Shuts down gracefully: reports not ready, then refuses new work as not run, then waits for requests in flight. */
	async drain(): Promise<void> {
		this._isReady = false;
		await sleep(this._options.drainDelayMs ?? 0);
		await new Promise<void>(resolve => {
			this._drainListeners.add(resolve);
			this._post({type: 'shutdownRequested'});
		});
	}

	/** Stops immediately and aborts requests in flight. */
	stop(): void {
		this._isReady = false;
		this._isStopped = true;
		clearTimeout(this._timer);
		for (const subscription of this._subscriptions) {
			subscription.dispose();
		}

		this._attempts.cancelAll();
		for (const {call} of this._openRequests.values()) {
			call.response.abort();
		}
	}

	/** Accepts a request. Its response gets exactly one outcome. */
	submit(call: IncomingCall): void {
		const {clock, deadlineMs, telemetry} = this._options;
		const now = clock();
		const openRequest = OpenRequest.create(call, telemetry.tracer, now);
		this._openRequests.set(call.requestId, openRequest);
		call.response.onDisconnect(() => {
			this._onCallerDisconnect(call.requestId);
		});
		telemetry.metrics.increment('entry.requests');
		const request: EntryRequest = {
			requestId: call.requestId,
			credential: call.credential,
			work: call.work,
			bodyDigest: digestOf(call.call.method, call.call.path, call.body),
			deadlineAt: now + (call.timeoutMs ?? deadlineMs),
			traceparent: openRequest.traceparent,
			...(call.idempotencyKey === undefined
				? {}
				: {idempotencyKey: call.idempotencyKey}),
		};
		this._post({type: 'requestArrived', request});
	}

	/** Records suspects: requests that were running when a backend server crashed. `bootId` identifies the crashed run, which counts once. */
	noteSuspects(fingerprints: readonly string[], bootId: string): void {
		this._post({type: 'suspectsReported', fingerprints, bootId});
	}

	/** Counts the outcome of a request, also of one that was refused before it was submitted. */
	countOutcome(outcome: string): void {
		this._outcomeCounts.set(
			outcome,
			(this._outcomeCounts.get(outcome) ?? 0) + 1,
		);
	}

	stats(): EntryStats {
		return {
			...this._core.stats(),
			isReady: this.isReady,
			outcomes: Object.fromEntries(this._outcomeCounts),
		};
	}

	private _onCallerDisconnect(requestId: string): void {
		this._finishRequest(requestId, 'gone');
		this._post({type: 'callerGone', requestId});
	}

	/** Handles an event. Events posted while commands are executed are queued. */
	private _post(event: EntryEvent): void {
		this._eventQueue.push(event);
		if (this._isHandling || this._isStopped) {
			return;
		}

		this._isHandling = true;
		try {
			for (;;) {
				const next = this._eventQueue.shift();
				if (next === undefined) {
					break;
				}

				for (const command of this._core.handle(next, this._options.clock())) {
					this._execute(command);
				}
			}
		} finally {
			this._isHandling = false;
		}

		this._scheduleTick();
	}

	private _scheduleTick(): void {
		clearTimeout(this._timer);
		const wakeAt = this._core.nextWakeAt();
		if (wakeAt === undefined) {
			return;
		}

		const delay = Math.max(1, wakeAt - this._options.clock());
		this._timer = setTimeout(
			() => {
				this._post({type: 'tick'});
			},
			Math.min(delay, maxTickIntervalMs),
		);
		this._timer.unref();
	}

	private _execute(command: EntryCommand): void {
		switch (command.type) {
			case 'reserveTokens': {
				const openRequest = this._openRequests.get(command.requestId);
				void this._calls.reserve(command, openRequest);
				break;
			}

			case 'returnTokens': {
				this._calls.returnTokens(command);
				break;
			}

			case 'claim': {
				const openRequest = this._openRequests.get(command.requestId);
				void this._calls.claim(command, openRequest);
				break;
			}

			case 'recordOutcome': {
				void this._calls.record(command);
				break;
			}

			case 'releaseClaim': {
				void this._calls.release(command);
				break;
			}

			case 'learnChanges': {
				this._options.config.learn('agent', command.changes);
				break;
			}

			case 'probeServer': {
				void this._probe(command.server);
				break;
			}

			case 'drained': {
				this._onDrained();
				break;
			}

			case 'dispatch': {
				const openRequest = this._openRequests.get(command.requestId);
				if (openRequest !== undefined) {
					void this._attempts.dispatch(command, openRequest);
				}

				break;
			}

			case 'cancelDispatch': {
				this._attempts.cancel(command.attemptId);
				break;
			}

			case 'relayAnswer': {
				this._attempts.relay(command.attemptId);
				break;
			}

			case 'collectAnswer': {
				this._attempts.collect(command.attemptId);
				break;
			}

			case 'finishAnswer':
			case 'refuse':
			case 'cutAnswer':
			case 'replayOutcome': {
				this._sendOutcome(command);
				break;
			}
		}
	}

	/** Sends the caller its final outcome. */
	private _sendOutcome(command: FinalCommand): void {
		const {requestId} = command;
		const response = this._openRequests.get(requestId)?.call.response;
		switch (command.type) {
			case 'finishAnswer': {
				this._attempts.finish(command.attemptId);
				this._finishRequest(requestId, 'answered');
				break;
			}

			case 'refuse': {
				response?.refuse(command.refusal);
				this._finishRequest(requestId, command.refusal.code);
				this._countRefusal(command.refusal);
				break;
			}

			case 'cutAnswer': {
				response?.cut(command.refusal);
				this._finishRequest(requestId, 'cut');
				this._countRefusal(command.refusal);
				break;
			}

			case 'replayOutcome': {
				response?.replay(command.outcome);
				this._finishRequest(requestId, 'replayed');
				break;
			}
		}
	}

	private _countRefusal({code, step, notRun}: Refusal): void {
		const tags = {code, step, not_run: String(notRun)};
		this._options.telemetry.metrics.increment('entry.refused', tags);
	}

	/** Removes a request and records its outcome in spans and metrics. Later outcomes of the same request are ignored. */
	private _finishRequest(requestId: string, outcome: string): void {
		const openRequest = this._openRequests.get(requestId);
		if (openRequest === undefined) {
			return;
		}

		this._openRequests.delete(requestId);
		openRequest.end(outcome);
		this.countOutcome(outcome);
		const {metrics} = this._options.telemetry;
		const duration = this._options.clock() - openRequest.startedAt;
		metrics.increment('entry.outcome', {outcome});
		metrics.timing('entry.duration', duration, {outcome});
	}

	private _onDrained(): void {
		for (const resolve of this._drainListeners) {
			resolve();
		}

		this._drainListeners.clear();
	}

	private async _probe(server: string): Promise<void> {
		// eslint-disable-next-line unicorn/no-array-callback-reference -- not an array
		const host = this._options.membership.find(server);
		const status = host && (await this._tryProbe(host.peerAddress));
		this._post({
			type: 'serverProbed',
			server,
			...(status === undefined ? {} : {status}),
		});
	}

	private async _tryProbe(address: string): Promise<ServerStatus | undefined> {
		try {
			return await this._options.probe(address);
		} catch {
			return undefined;
		}
	}
}
