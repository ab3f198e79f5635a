import {
	EntryCore,
	type ConfigView,
	type EntryCommand,
	type EntryEvent,
	type Host,
	type Refusal,
	type RoutingPolicy,
	type ServerStatus,
} from '@balsamtray/core';
import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {deadlineMs, networkDelayMs} from './constants.js';
import type {WorkloadRequest} from './types.js';
import type {VirtualAgent} from './virtual-agent.js';
import {WakeTimer} from './wake-timer.js';

/** Listener for the outcomes of callers' requests. */
export type CallerListener = {
	onFirstToken(request: WorkloadRequest): void;
	onAnswered(request: WorkloadRequest): void;
	onRefused(request: WorkloadRequest, refusal: Refusal): void;
	onCut(request: WorkloadRequest): void;
};

/** Options of a simulated entry. */
export type ServingEntryOptions = {
	readonly id: string;
	readonly region: string;
	readonly time: VirtualTime;
	readonly policy: RoutingPolicy;
	readonly view: () => ConfigView;
	readonly keyId: (customer: string) => string;
	readonly agents: ReadonlyMap<string, VirtualAgent>;
	readonly hosts: readonly Host[];
	readonly listener: CallerListener;
	readonly reserve: (
		requestId: string,
		customer: string,
		tokens: number,
	) => void;
	readonly returnTokens: (requestId: string, tokens: number) => void;
};

/** Runs the entry's core in virtual time against simulated agents. */
export class ServingEntry {
	static create(options: ServingEntryOptions): ServingEntry {
		return new ServingEntry(options);
	}

	isAlive = true;
	private readonly _core: EntryCore;
	private readonly _requests = new Map<string, WorkloadRequest>();
	private readonly _serverOf = new Map<string, string>();
	private readonly _wakeTimer: WakeTimer;

	private constructor(private readonly _options: ServingEntryOptions) {
		const {id, region, view, policy, time, hosts} = _options;
		this._core = EntryCore.create({
			entryId: id,
			region,
			view,
			policy,
			now: time.now,
		});
		this._wakeTimer = WakeTimer.create(time, () => {
			this.handle({type: 'tick'});
		});
		this.handle({type: 'membershipChanged', hosts});
	}

	/** Returns the requests that have no outcome yet. */
	openRequests(): readonly WorkloadRequest[] {
		return [...this._requests.values()];
	}

	accept(request: WorkloadRequest): void {
		const {customer, adapter, promptTokens, maxTokens} = request;
		this._requests.set(request.id, request);
		this.handle({
			type: 'requestArrived',
			request: {
				requestId: request.id,
				credential: {
					kind: 'key',
					keyId: this._options.keyId(customer),
					customer,
				},
				work: {kind: 'model', model: adapter, promptTokens, maxTokens},
				bodyDigest: request.fingerprint,
				deadlineAt: this._options.time.now + deadlineMs,
			},
		});
	}

	handle(event: EntryEvent): void {
		if (!this.isAlive) {
			return;
		}

		const {time} = this._options;
		for (const command of this._core.handle(event, time.now)) {
			this._execute(command);
		}

		this._wakeTimer.schedule(this._core.nextWakeAt());
	}

	private _execute(command: EntryCommand): void {
		const {listener, reserve, returnTokens} = this._options;
		switch (command.type) {
			case 'reserveTokens': {
				reserve(command.requestId, command.customer, command.tokens);
				break;
			}

			case 'returnTokens': {
				returnTokens(command.requestId, command.tokens);
				break;
			}

			case 'dispatch': {
				this._dispatch(command);
				break;
			}

			case 'cancelDispatch': {
				this._cancel(command.attemptId);
				break;
			}

			case 'relayAnswer': {
				this._withRequest(command.requestId, request => {
					listener.onFirstToken(request);
				});
				break;
			}

			case 'finishAnswer': {
				this._end(command.requestId, request => {
					listener.onAnswered(request);
				});
				break;
			}

			case 'refuse': {
				this._end(command.requestId, request => {
					listener.onRefused(request, command.refusal);
				});
				break;
			}

			case 'cutAnswer': {
				this._end(command.requestId, request => {
					listener.onCut(request);
				});
				break;
			}

			case 'probeServer': {
				this._probe(command.server);
				break;
			}

			case 'claim':
			case 'recordOutcome':
			case 'releaseClaim':
			case 'collectAnswer':
			case 'replayOutcome':
			case 'learnChanges':
			case 'drained': {
				// The workload has only repeatable requests, and the fleet delivers configuration changes itself.
				break;
			}
		}
	}

	private _dispatch({
		requestId,
		server,
		dispatch,
	}: Extract<EntryCommand, {readonly type: 'dispatch'}>): void {
		const request = this._requests.get(requestId);
		const agent = this._options.agents.get(server);
		if (request === undefined || agent === undefined) {
			return;
		}

		const {attemptId} = dispatch;
		this._serverOf.set(attemptId, server);
		this._afterNetworkDelay(() => {
			agent.dispatch(dispatch, request, {
				onRefused: (refusal, status) => {
					this._receive({
						type: 'dispatchRefused',
						attemptId,
						refusal,
						status,
						changes: [],
					});
				},
				onStarted: status => {
					this._receive({type: 'answerStarted', attemptId, status});
				},
				onCompleted: usage => {
					this._receive({type: 'answerCompleted', attemptId, usage});
				},
				onConnectionLost: hasStarted => {
					this._receive(
						hasStarted
							? {type: 'answerCut', attemptId, hasReachedCaller: true}
							: {type: 'dispatchFailed', attemptId, fault: {kind: 'lost'}},
					);
				},
			});
		});
	}

	private _cancel(attemptId: string): void {
		const agent = this._options.agents.get(this._serverOf.get(attemptId) ?? '');
		this._afterNetworkDelay(() => {
			agent?.cancel(attemptId);
		});
	}

	private _probe(server: string): void {
		const agent = this._options.agents.get(server);
		if (agent === undefined) {
			return;
		}

		this._afterNetworkDelay(() => {
			const status: ServerStatus = agent.status();
			this._receive({type: 'serverProbed', server, status});
		});
	}

	private _receive(event: EntryEvent): void {
		this._afterNetworkDelay(() => {
			this.handle(event);
		});
	}

	private _afterNetworkDelay(run: () => void): void {
		this._options.time.after(networkDelayMs, run);
	}

	private _withRequest(
		requestId: string,
		use: (request: WorkloadRequest) => void,
	): void {
		const request = this._requests.get(requestId);
		if (request !== undefined) {
			use(request);
		}
	}

	private _end(
		requestId: string,
		use: (request: WorkloadRequest) => void,
	): void {
		this._withRequest(requestId, use);
		this._requests.delete(requestId);
	}
}
