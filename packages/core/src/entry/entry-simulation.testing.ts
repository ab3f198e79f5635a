import type {Dispatch} from '../agent/types.js';
import {createRandom, type Random} from '../common/random.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigOp} from '../config/types.js';
import {EntryCore} from './entry-core.js';
import {FakeAgents, statusOf} from './fake-agents.testing.js';
import {FakeServices} from './fake-services.testing.js';
import {Observations, type Observation} from './observations.testing.js';
import type {EntryCommand, EntryEvent, EntryRequest} from './types.js';
import {VirtualSchedule} from './virtual-schedule.testing.js';
import {
	configChanges,
	initialConfig,
	simulatedServers,
} from './simulation-config.testing.js';

/** Options of one simulation run. */
export type SimulationOptions = {
	readonly seed: number;
	readonly requests: number;
	/** Share of dispatches, 0 to 1, that get a fault. */
	readonly faultShare: number;
	/** Whether a shutdown is requested at a random time of the run. */
	readonly willShutDown: boolean;
};

const runMs = 2000;
/** The longer deadline leaves time for probes. */
const deadlinesMs = [300, 5000] as const;

/** Simulates an entry in virtual time with agents and services that fail at random. The same seed gives the same run. */
export class EntrySimulation {
	static create(options: SimulationOptions): EntrySimulation {
		return new EntrySimulation(options);
	}

	readonly observations = Observations.create();
	readonly core: EntryCore;
	readonly schedule = VirtualSchedule.create();
	drainedCount = 0;
	private readonly _random: Random;
	private readonly _agents: FakeAgents;
	private readonly _services: FakeServices;
	private _config = ConfigState.empty();
	/** Configuration changes that agents have and the entry doesn't have yet. */
	private _unseenChanges: ReadonlyArray<readonly ConfigOp[]> = [];

	private constructor(private readonly _options: SimulationOptions) {
		this._random = createRandom(_options.seed);
		this._applyChange(initialConfig);
		this.core = EntryCore.create({
			entryId: 'e1',
			region: 'r1',
			view: () => this._config,
			now: 0,
		});
		const shared = {
			random: this._random,
			observations: this.observations,
			post: (event: EntryEvent) => {
				this._post(event);
			},
			after: (maxDelayMs: number, run: () => void) => {
				this._after(maxDelayMs, run);
			},
		};
		this._services = FakeServices.create(shared);
		this._agents = FakeAgents.create({
			...shared,
			faultShare: _options.faultShare,
			version: () => this._config.version + this._unseenChanges.length,
			catchUp: () => {
				this._catchUp();
			},
		});
	}

	/** Runs until no event is scheduled and no request is open. */
	run(): void {
		this._post({type: 'membershipChanged', hosts: simulatedServers});
		for (let i = 0; i < this._options.requests; i++) {
			this._scheduleDuringRun(() => {
				this._arrive(i);
			});
		}

		this._scheduleChanges();
		while (this._step()) {
			// Each step runs one event.
		}
	}

	/**
	 * Runs the next scheduled event or tick. Returns false if there is none.
	 * Ticks run only while a request is open, because probes never end.
	 */
	private _step(): boolean {
		const isOpen = this.core.stats().openRequests > 0;
		const wakeAt = isOpen ? this.core.nextWakeAt() : undefined;
		const {nextAt} = this.schedule;
		if (wakeAt !== undefined && wakeAt < (nextAt ?? Infinity)) {
			this.schedule.now = Math.max(this.schedule.now, wakeAt);
			this._post({type: 'tick'});
			return true;
		}

		this.schedule.runNext();
		return nextAt !== undefined;
	}

	private _scheduleChanges(): void {
		for (const ops of configChanges) {
			if (this._chance(0.6)) {
				this._scheduleDuringRun(() => {
					this._unseenChanges = [...this._unseenChanges, ops];
					this._after(200, () => {
						this._catchUp();
					});
				});
			}
		}

		this._scheduleDuringRun(() => {
			const leaving = Math.floor(this._random() * simulatedServers.length);
			const hosts = simulatedServers.map((host, i) =>
				i === leaving ? {...host, state: 'leaving' as const} : host,
			);
			this._post({type: 'membershipChanged', hosts});
		});
		if (this._options.willShutDown) {
			this._scheduleDuringRun(() => {
				this._post({type: 'shutdownRequested'});
			});
		}
	}

	private _arrive(index: number): void {
		const isRepeatable = this._chance(0.5);
		const keyId = this._chance(0.5) ? 'k1' : 'k2';
		const requestId = `q${index}`;
		const deadlineMs = deadlinesMs[this._chance(0.7) ? 0 : 1];
		const request: EntryRequest = {
			requestId,
			credential: {kind: 'key', keyId, customer: 'c'},
			work: isRepeatable
				? {kind: 'model', model: 'a', promptTokens: 5, maxTokens: 10}
				: {kind: 'service', route: 'orders'},
			// Pairs of requests share an idempotency key.
			idempotencyKey: `i${Math.floor(index / 2)}`,
			bodyDigest: `d${index % 7}`,
			deadlineAt: this.schedule.now + deadlineMs,
		};
		const observation = this.observations.add(request, isRepeatable);
		this._post({type: 'requestArrived', request});
		if (this._chance(0.15)) {
			this._after(deadlineMs, () => {
				this._disconnectCaller(observation);
			});
		}
	}

	private _disconnectCaller(observation: Observation): void {
		if (observation.finals.length === 0) {
			observation.isCallerGone = true;
			const {requestId} = observation.request;
			this._post({type: 'callerGone', requestId});
		}
	}

	private _post(event: EntryEvent): void {
		for (const command of this.core.handle(event, this.schedule.now)) {
			this._execute(command);
		}
	}

	private _execute(command: EntryCommand): void {
		const {now} = this.schedule;
		switch (command.type) {
			case 'reserveTokens':
			case 'returnTokens':
			case 'claim':
			case 'recordOutcome':
			case 'releaseClaim': {
				this._services.execute(command);
				break;
			}

			case 'dispatch': {
				this._dispatch(command.dispatch, command.server);
				break;
			}

			case 'cancelDispatch': {
				this._agents.cancel(command.attemptId);
				break;
			}

			case 'relayAnswer': {
				this.observations.noteRelay(command.requestId, command.attemptId, now);
				break;
			}

			case 'refuse':
			case 'finishAnswer':
			case 'cutAnswer':
			case 'replayOutcome': {
				this.observations.noteFinal(command, now);
				break;
			}

			case 'learnChanges':
			case 'collectAnswer': {
				break;
			}

			case 'probeServer': {
				const {server} = command;
				this._after(10, () => {
					const status = this._chance(0.3) ? statusOf(server) : undefined;
					this._post({
						type: 'serverProbed',
						server,
						...(status === undefined ? {} : {status}),
					});
				});
				break;
			}

			case 'drained': {
				this.drainedCount++;
				break;
			}
		}
	}

	private _dispatch(dispatch: Dispatch, server: string): void {
		this.observations.noteDispatch(dispatch);
		this._checkDispatch(dispatch, server);
		this._after(20, () => {
			this._agents.handleDispatch(dispatch, server);
		});
	}

	private _checkDispatch({attemptId, keyId}: Dispatch, server: string): void {
		const {violations} = this.observations;
		const host = simulatedServers.find(({id}) => id === server);
		if (host === undefined || this._config.isZoneOut(host.zone)) {
			violations.push(
				`${attemptId} was dispatched to a zone that is out of service`,
			);
		}

		if (this._config.isServerDrained(server)) {
			violations.push(`${attemptId} was dispatched to a drained server`);
		}

		if (keyId !== undefined && this._config.isKeyWithdrawn(keyId)) {
			violations.push(`${attemptId} was dispatched with a withdrawn key`);
		}
	}

	private _catchUp(): void {
		const {_unseenChanges: changes} = this;
		this._unseenChanges = [];
		for (const ops of changes) {
			this._applyChange(ops);
		}

		if (changes.length > 0) {
			this._post({type: 'configAdvanced'});
		}
	}

	private _applyChange(ops: readonly ConfigOp[]): void {
		const version = this._config.version + 1;
		const result = this._config.applyChange({
			version,
			changeId: `change-${version}`,
			author: 'test',
			writtenAt: 0,
			summary: '',
			ops,
		});
		if (result.kind === 'applied') {
			this._config = result.state;
		}
	}

	private _chance(share: number): boolean {
		return this._random() < share;
	}

	private _scheduleDuringRun(run: () => void): void {
		this.schedule.at(this._random() * runMs, run);
	}

	private _after(maxDelayMs: number, run: () => void): void {
		const {now} = this.schedule;
		this.schedule.at(now + this._random() * maxDelayMs, run);
	}
}
