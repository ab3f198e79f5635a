import {
	ConfigState,
	createRandom,
	EntryCore,
	refuseMaybeRun,
	type AgentHost,
	type EntryCommand,
	type EntryEvent,
	type Random,
	type ServerStatus,
} from '@balsamtray/core';
import {VirtualTime} from './rate-fleet/virtual-time.js';

/** Rule by which the entry decides that a server has failed. */
export type Detector =
	/** No detection: each request runs into the failure itself. */
	| 'none'
	/** A server that misses a heartbeat is removed from routing until it answers one. */
	| 'heartbeat'
	/** This many consecutive request failures make a server the last choice, until it answers a heartbeat. */
	| {readonly failuresInRow: number};

/** Fault of the first server, or of all servers for `flaky`. */
export type ServerFault =
	/** Connections are refused. */
	| 'refused'
	/** Each request fails after 50 ms; heartbeats succeed. */
	| 'subtle'
	/** Requests and heartbeats are accepted but never answered. */
	| 'hang'
	/** One request in twenty fails, on any server. */
	| 'flaky';

/** Cost of one fault with one detector. */
export type DetectionMeasurement = {
	readonly detector: string;
	readonly fault: ServerFault;
	readonly requests: number;
	/** Dispatches that failed. */
	readonly failedDispatches: number;
	/** Requests that ended in a refusal. */
	readonly refused: number;
	/** Time from arrival to the start of the answer, in milliseconds. */
	readonly p99Ms: number;
	/** How often a server became suspected. */
	readonly suspicions: number;
};

const servers = 12;
const adapters = 300;
const requestsPerSecond = 200;
const runMs = 60_000;
const serviceMs = 300;
const failureDelayMs = 50;
const networkMs = 1;
const heartbeatMs = 1000;
const probeTimeoutMs = 1000;
const deadlineMs = 10_000;
const flakyShare = 0.05;
const tickMs = 50;

/** Measures in virtual time what a failing server costs, for each fault and each failure detector. */
export function measureFailureDetection(
	seed = 1,
): readonly DetectionMeasurement[] {
	const detectors: readonly Detector[] = [
		'none',
		'heartbeat',
		{failuresInRow: 1},
		{failuresInRow: 3},
		{failuresInRow: 10},
	];
	const faults: readonly ServerFault[] = ['refused', 'subtle', 'hang', 'flaky'];
	return faults.flatMap(fault =>
		detectors.map(detector =>
			DetectionRun.create(detector, fault, seed).measure(),
		),
	);
}

/** Simulates one entry that routes to twelve servers, the first of which fails. */
class DetectionRun {
	static create(
		detector: Detector,
		fault: ServerFault,
		seed: number,
	): DetectionRun {
		return new DetectionRun(detector, fault, seed);
	}

	private readonly _time = VirtualTime.create();
	private readonly _random: Random;
	private readonly _core: EntryCore;
	private readonly _hosts = hostsOf();
	private readonly _arrivedAt = new Map<string, number>();
	private readonly _waits: number[] = [];
	private _suspected = new Set<string>();
	private _requests = 0;
	private _failedDispatches = 0;
	private _refused = 0;
	private _suspicions = 0;

	private constructor(
		private readonly _detector: Detector,
		private readonly _fault: ServerFault,
		seed: number,
	) {
		this._random = createRandom(seed);
		const config = createConfig();
		this._core = EntryCore.create({
			entryId: 'e1',
			region: 'r1',
			view: () => config,
			now: 0,
			failuresUntilSuspected:
				typeof _detector === 'object' ? _detector.failuresInRow : Infinity,
		});
	}

	measure(): DetectionMeasurement {
		this._post({type: 'membershipChanged', hosts: this._hosts});
		this._scheduleArrival();
		this._scheduleTick();
		if (this._detector === 'heartbeat' && this._isHeartbeatFailing()) {
			this._time.after(heartbeatMs * this._random(), () => {
				this._post({
					type: 'membershipChanged',
					hosts: this._hosts.slice(1),
				});
			});
		}

		this._time.runUntil(runMs + deadlineMs);
		const {_detector: detector} = this;
		return {
			detector:
				typeof detector === 'object'
					? `${detector.failuresInRow} in a row`
					: detector,
			fault: this._fault,
			requests: this._requests,
			failedDispatches: this._failedDispatches,
			refused: this._refused,
			p99Ms: percentile(this._waits, 0.99),
			suspicions: this._suspicions,
		};
	}

	private _scheduleArrival(): void {
		const gapMs = (-Math.log(1 - this._random()) * 1000) / requestsPerSecond;
		this._time.after(gapMs, () => {
			if (this._time.now < runMs) {
				this._arrive();
				this._scheduleArrival();
			}
		});
	}

	private _scheduleTick(): void {
		this._time.after(tickMs, () => {
			this._post({type: 'tick'});
			this._scheduleTick();
		});
	}

	private _arrive(): void {
		const requestId = `q${this._requests++}`;
		this._arrivedAt.set(requestId, this._time.now);
		this._post({
			type: 'requestArrived',
			request: {
				requestId,
				credential: {kind: 'key', keyId: 'k', customer: 'c'},
				work: {
					kind: 'model',
					model: `a${Math.floor(this._random() * adapters)}`,
					promptTokens: 1,
					maxTokens: 1,
				},
				bodyDigest: requestId,
				deadlineAt: this._time.now + deadlineMs,
			},
		});
	}

	private _post(event: EntryEvent): void {
		for (const command of this._core.handle(event, this._time.now)) {
			this._execute(command);
		}

		const suspected = new Set(this._core.stats().suspectedServers);
		for (const server of suspected) {
			this._suspicions += this._suspected.has(server) ? 0 : 1;
		}

		this._suspected = suspected;
	}

	private _execute(command: EntryCommand): void {
		// The simulation ignores the other commands.
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check
		switch (command.type) {
			case 'reserveTokens': {
				const {requestId} = command;
				this._postAfter(0, {type: 'tokensReserved', requestId});
				break;
			}

			case 'dispatch': {
				this._dispatch(command.dispatch.attemptId, command.server);
				break;
			}

			case 'relayAnswer': {
				const arrivedAt = this._arrivedAt.get(command.requestId) ?? 0;
				this._waits.push(this._time.now - arrivedAt);
				break;
			}

			case 'refuse': {
				this._refused++;
				break;
			}

			case 'cancelDispatch': {
				this._failedDispatches++;
				break;
			}

			case 'probeServer': {
				this._probe(command.server);
				break;
			}
		}
	}

	private _dispatch(attemptId: string, server: string): void {
		const isFirst = server === this._hosts[0]?.id;
		if (this._fault === 'flaky' && this._random() < flakyShare) {
			this._failDispatch(attemptId, server);
		} else if (!isFirst || this._fault === 'flaky') {
			this._answer(attemptId, server);
		} else if (this._fault === 'refused') {
			this._failedDispatches++;
			const fault = {kind: 'notDelivered'} as const;
			this._postAfter(networkMs, {type: 'dispatchFailed', attemptId, fault});
		} else if (this._fault === 'subtle') {
			this._failDispatch(attemptId, server);
		}
	}

	private _failDispatch(attemptId: string, server: string): void {
		this._failedDispatches++;
		this._postAfter(failureDelayMs, {
			type: 'dispatchRefused',
			attemptId,
			refusal: refuseMaybeRun('backend_failed', {
				step: 'backend',
				peer: server,
			}),
			status: statusOf(server),
			changes: [],
		});
	}

	private _answer(attemptId: string, server: string): void {
		const status = statusOf(server);
		this._postAfter(networkMs, {type: 'answerStarted', attemptId, status});
		const usage = {promptTokens: 1, completionTokens: 1};
		this._postAfter(serviceMs, {type: 'answerCompleted', attemptId, usage});
	}

	private _probe(server: string): void {
		const isFirst = server === this._hosts[0]?.id;
		const hasFailed = isFirst && this._isHeartbeatFailing();
		const isHanging = hasFailed && this._fault === 'hang';
		this._postAfter(isHanging ? probeTimeoutMs : networkMs, {
			type: 'serverProbed',
			server,
			...(hasFailed ? {} : {status: statusOf(server)}),
		});
	}

	private _isHeartbeatFailing(): boolean {
		return this._fault === 'refused' || this._fault === 'hang';
	}

	private _postAfter(delayMs: number, event: EntryEvent): void {
		this._time.after(delayMs, () => {
			this._post(event);
		});
	}
}

function hostsOf(): readonly AgentHost[] {
	return Array.from({length: servers}, (_, i) => ({
		role: 'agent',
		id: `s${i}`,
		zone: `z${i % 3}`,
		region: 'r1',
		peerAddress: `10.0.0.${i}:1`,
		state: 'live',
		backend: {kind: 'engine', baseModel: 'base'},
	}));
}

function statusOf(server: string): ServerStatus {
	return {
		server,
		zone: 'z0',
		incarnation: 'i',
		configVersion: 1,
		backend: {kind: 'engine', baseModel: 'base'},
		isAcceptingWork: true,
		running: 0,
		queued: 0,
		window: 16,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}

function createConfig(): ConfigState {
	const key = {id: 'k', customer: 'c', salt: '', digest: '', issuedAt: 0};
	const customer = {
		name: 'c',
		tokensPerSecond: 1,
		burstTokens: 1,
		weight: 1,
	};
	const versions = [{name: 'v', weights: 'w'}];
	return ConfigState.fromSnapshot({
		version: 1,
		documentDigest: '',
		customers: [customer],
		adapters: Array.from({length: adapters}, (_, i) => ({
			name: `a${i}`,
			baseModel: 'base',
			customers: [],
			versions,
			currentVersion: 'v',
		})),
		routes: [],
		keys: [key],
		withdrawnKeyIds: [],
		zonesOut: [],
		drainedServers: [],
	});
}

function percentile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}
