/** An entry in virtual time among fakes that fail at random, for property tests. The same seed gives the same run. */
import type {Dispatch, ServerStatus} from '../agent/types.js';
import {createRandom, type Random} from '../common/random.js';
import {ConfigState} from '../config/config-state.js';
import type {ConfigOp} from '../config/types.js';
import type {AgentHost} from '../membership/types.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {RefusalCode} from '../refusal/types.js';
import {EntryCore} from './entry-core.js';
import type {
	ClaimResult,
	EntryCommand,
	EntryEvent,
	EntryRequest,
	RecordedOutcome,
} from './types.js';

/** What a run consists of. */
export type WorldOptions = {
	readonly seed: number;
	readonly requests: number;
	/** Share of dispatches, 0 to 1, that meet a fault. */
	readonly faultShare: number;
	readonly shutsDown: boolean;
};

/** What happened to one request, as an all-seeing observer has it. */
export type Observation = {
	readonly request: EntryRequest;
	readonly isRepeatable: boolean;
	readonly arrivedAt: number;
	readonly finals: FinalCommand[];
	finalAt: number | undefined;
	startedAt: number | undefined;
	isGone: boolean;
	/** Attempts that a back end really ran. */
	readonly runs: string[];
	readonly dispatches: Dispatch[];
	/** Attempts of which the caller got at least a byte. */
	readonly relayed: Set<string>;
	reserved: number;
	returned: number;
	hasOpenClaim: boolean;
};

/** Commands that end a request towards its caller. */
export type FinalCommand = Extract<
	EntryCommand,
	{readonly type: 'refuse' | 'finishAnswer' | 'cutAnswer' | 'replayOutcome'}
>;

type Scheduled = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

type ClaimRecord =
	| {readonly kind: 'claimed'; readonly by: string}
	| {readonly kind: 'settled'; readonly outcome: RecordedOutcome};

const servers = Array.from({length: 6}, (_, i) => hostOf(i));
const runMs = 2000;
const deadlineMs = 300;
const hangMs = 700;

/** The entry with its fakes. */
export class EntryWorld {
	static create(options: WorldOptions): EntryWorld {
		return new EntryWorld(options);
	}

	readonly observations = new Map<string, Observation>();
	readonly core: EntryCore;
	/** Violations that are seen as they happen. */
	readonly violations: string[] = [];
	drainedCount = 0;
	now = 0;
	private readonly _random: Random;
	private readonly _queue: Scheduled[] = [];
	private readonly _claims = new Map<string, ClaimRecord>();
	private readonly _owners = new Map<string, Observation>();
	private readonly _cancelled = new Set<string>();
	private _config = ConfigState.empty();
	/** The configuration that agents know may be ahead. */
	private _ahead: ReadonlyArray<readonly ConfigOp[]> = [];
	private _order = 0;

	private constructor(private readonly _options: WorldOptions) {
		this._random = createRandom(_options.seed);
		this._advance(initialOps());
		this.core = EntryCore.create({
			entryId: 'e1',
			region: 'r1',
			view: () => this._config,
			now: 0,
		});
	}

	/** Runs until nothing is left to happen. */
	run(): void {
		this._post({type: 'membershipChanged', hosts: servers});
		for (let i = 0; i < this._options.requests; i++) {
			this._at(this._random() * runMs, () => {
				this._arrive(i);
			});
		}

		this._planSurroundings();
		for (;;) {
			const next = this._takeNext();
			if (next === undefined) {
				return;
			}

			this.now = Math.max(this.now, next.at);
			next.run();
		}
	}

	private _planSurroundings(): void {
		const changes: ReadonlyArray<readonly ConfigOp[]> = [
			[{op: 'withdrawKey', keyId: 'k1'}],
			[{op: 'takeZoneOut', zone: 'z0'}],
			[{op: 'drainServer', server: 's4'}],
			[{op: 'bringZoneIn', zone: 'z0'}],
		];
		for (const ops of changes) {
			if (this._chance(0.6)) {
				this._at(this._random() * runMs, () => {
					this._ahead = [...this._ahead, ops];
					this._after(200, () => {
						this._catchUp();
					});
				});
			}
		}

		this._at(this._random() * runMs, () => {
			const left = Math.floor(this._random() * servers.length);
			const hosts = servers.map((host, i) =>
				i === left ? {...host, state: 'leaving' as const} : host,
			);
			this._post({type: 'membershipChanged', hosts});
		});
		if (this._options.shutsDown) {
			this._at(runMs * this._random(), () => {
				this._post({type: 'shutdownRequested'});
			});
		}
	}

	private _arrive(index: number): void {
		const isRepeatable = this._chance(0.5);
		const keyId = this._chance(0.5) ? 'k1' : 'k2';
		const request: EntryRequest = {
			requestId: `q${index}`,
			credential: {kind: 'key', keyId, customer: 'c'},
			work: isRepeatable
				? {kind: 'model', model: 'a', promptTokens: 5, maxTokens: 10}
				: {kind: 'service', route: 'orders'},
			// Callers repeat some calls under the same key.
			idempotencyKey: `i${Math.floor(index / 2)}`,
			bodyDigest: `d${index % 7}`,
			deadlineAt: this.now + deadlineMs,
		};
		const observation: Observation = {
			request,
			isRepeatable,
			arrivedAt: this.now,
			finals: [],
			finalAt: undefined,
			startedAt: undefined,
			isGone: false,
			runs: [],
			dispatches: [],
			relayed: new Set(),
			reserved: 0,
			returned: 0,
			hasOpenClaim: false,
		};
		this.observations.set(request.requestId, observation);
		this._post({type: 'requestArrived', request});
		if (this._chance(0.15)) {
			this._after(deadlineMs, () => {
				if (observation.finals.length === 0) {
					observation.isGone = true;
					this._post({type: 'callerGone', requestId: request.requestId});
				}
			});
		}
	}

	private _post(event: EntryEvent): void {
		for (const command of this.core.handle(event, this.now)) {
			this._carryOut(command);
		}
	}

	private _carryOut(command: EntryCommand): void {
		switch (command.type) {
			case 'reserveTokens': {
				this._reserve(command.requestId, command.tokens);
				break;
			}

			case 'returnTokens': {
				this._observe(command.requestId).returned += command.tokens;
				break;
			}

			case 'claim': {
				this._claim(command.requestId, command.idempotencyKey);
				break;
			}

			case 'recordOutcome': {
				this._observe(command.requestId).hasOpenClaim = false;
				this._claims.set(command.idempotencyKey, {
					kind: 'settled',
					outcome: command.outcome,
				});
				break;
			}

			case 'releaseClaim': {
				this._observe(command.requestId).hasOpenClaim = false;
				this._claims.delete(command.idempotencyKey);
				break;
			}

			case 'dispatch': {
				this._dispatch(command.dispatch, command.server);
				break;
			}

			case 'cancelDispatch': {
				this._cancelled.add(command.attemptId);
				break;
			}

			case 'relayAnswer': {
				this._relay(command.requestId, command.attemptId);
				break;
			}

			case 'refuse':
			case 'finishAnswer':
			case 'cutAnswer':
			case 'replayOutcome': {
				this._end(command);
				break;
			}

			case 'learnChanges': {
				this._after(20, () => {
					this._catchUp();
				});
				break;
			}

			case 'probeServer': {
				this._after(10, () => {
					this._post({type: 'serverProbed', server: command.server});
				});
				break;
			}

			case 'drained': {
				this.drainedCount++;
				break;
			}

			case 'collectAnswer': {
				break;
			}
		}
	}

	private _reserve(requestId: string, tokens: number): void {
		const observation = this._observe(requestId);
		this._after(30, () => {
			if (this._chance(0.1)) {
				this._post({type: 'tokensRefused', requestId, retryAfterMs: 5});
			} else {
				observation.reserved += tokens;
				this._post({type: 'tokensReserved', requestId});
			}
		});
	}

	private _claim(requestId: string, key: string): void {
		this._after(30, () => {
			const result = this._claimResult(requestId, key);
			if (result.kind === 'granted') {
				this._observe(requestId).hasOpenClaim = true;
			}

			this._after(30, () => {
				this._post({type: 'claimSettled', requestId, result});
			});
		});
	}

	private _claimResult(requestId: string, key: string): ClaimResult {
		if (this._chance(0.1)) {
			return {kind: 'unavailable', retryAfterMs: 5};
		}

		const claim = this._claims.get(key);
		if (claim === undefined) {
			this._claims.set(key, {kind: 'claimed', by: requestId});
			return {kind: 'granted'};
		}

		return claim.kind === 'claimed'
			? {kind: 'inProgress', retryAfterMs: 5}
			: {kind: 'recorded', outcome: claim.outcome};
	}

	private _dispatch(dispatch: Dispatch, server: string): void {
		const observation = this._observe(dispatch.requestId);
		observation.dispatches.push(dispatch);
		this._owners.set(dispatch.attemptId, observation);
		this._checkDispatch(dispatch, server);
		this._after(20, () => {
			this._runAtAgent(dispatch, server);
		});
	}

	private _checkDispatch({attemptId, keyId}: Dispatch, server: string): void {
		const host = servers.find(({id}) => id === server);
		if (host === undefined || this._config.isZoneOut(host.zone)) {
			this.violations.push(`${attemptId} went to a zone that is out`);
		}

		if (this._config.isServerDrained(server)) {
			this.violations.push(`${attemptId} went to a drained server`);
		}

		if (keyId !== undefined && this._config.isKeyWithdrawn(keyId)) {
			this.violations.push(`${attemptId} used a withdrawn key`);
		}
	}

	/** What the agent and the network make of a dispatch. */
	private _runAtAgent(dispatch: Dispatch, server: string): void {
		const {attemptId} = dispatch;
		if (dispatch.configVersion < this._config.version + this._ahead.length) {
			this._refuse(attemptId, server, 'configuration_behind');
			return;
		}

		if (!this._chance(this._options.faultShare)) {
			this._answer(dispatch, server, 'whole');
			return;
		}

		const faults: ReadonlyArray<() => void> = [
			() => {
				this._refuse(attemptId, server, 'overloaded');
			},
			() => {
				this._fail(attemptId, 'notDelivered');
			},
			() => {
				this._fail(attemptId, 'lost');
			},
			() => {
				this._ran(attemptId);
				this._fail(attemptId, 'lost');
			},
			() => {
				this._ran(attemptId);
				this._fail(attemptId, 'mismatched');
			},
			() => {
				this._ran(attemptId);
				this._refuse(attemptId, server, 'backend_failed');
			},
			() => {
				this._answer(dispatch, server, 'cut');
			},
			() => {
				this._answer(dispatch, server, 'crossed');
			},
			() => {
				// The agent hangs; the connection breaks much later, after the run.
				this._after(hangMs, () => {
					this._ran(attemptId);
					this._fail(attemptId, 'lost');
				});
			},
		];
		faults[Math.floor(this._random() * faults.length)]!();
	}

	private _ran(attemptId: string): void {
		this._owners.get(attemptId)!.runs.push(attemptId);
	}

	private _refuse(attemptId: string, server: string, code: RefusalCode): void {
		const details = {step: 'admit', peer: server, retryAfterMs: 5} as const;
		const refusal =
			code === 'backend_failed'
				? refuseMaybeRun(code, details)
				: refuseNotRun(code, details);
		this._after(20, () => {
			const status = statusOf(server);
			const changes = [] as const;
			this._post({
				type: 'dispatchRefused',
				attemptId,
				refusal,
				status,
				changes,
			});
			if (code === 'configuration_behind') {
				this._catchUp();
			}
		});
	}

	private _fail(
		attemptId: string,
		kind: 'notDelivered' | 'lost' | 'mismatched',
	): void {
		this._after(20, () => {
			this._post({type: 'dispatchFailed', attemptId, fault: {kind}});
		});
	}

	private _answer(
		dispatch: Dispatch,
		server: string,
		kind: 'whole' | 'cut' | 'crossed',
	): void {
		const {attemptId} = dispatch;
		this._after(60, () => {
			// A dispatch that was cancelled in time may or may not run.
			if (this._cancelled.has(attemptId) && this._chance(0.5)) {
				return;
			}

			this._ran(attemptId);
			const status = statusOf(server);
			this._post({type: 'answerStarted', attemptId, status});
			this._after(40, () => {
				this._endAnswer(attemptId, kind);
			});
		});
	}

	private _endAnswer(
		attemptId: string,
		kind: 'whole' | 'cut' | 'crossed',
	): void {
		const usage = {promptTokens: 5, completionTokens: 3};
		if (kind === 'cut') {
			const hasReachedCaller = this._chance(0.5);
			if (hasReachedCaller) {
				this._owners.get(attemptId)!.relayed.add(attemptId);
			}

			this._post({type: 'answerCut', attemptId, hasReachedCaller});
			return;
		}

		if (kind === 'crossed') {
			// The end of another, perhaps finished, attempt arrives as well, and this one's twice.
			const others = [...this._owners.keys()];
			const other = others[Math.floor(this._random() * others.length)]!;
			if (this._owners.get(other)!.relayed.size === 0) {
				this._post({
					type: 'answerStarted',
					attemptId: `${other}x`,
					status: statusOf('s0'),
				});
			}

			this._post({type: 'answerCompleted', attemptId: `${attemptId}x`, usage});
			this._post({type: 'answerCompleted', attemptId, usage});
		}

		const outcome: RecordedOutcome = {
			kind: 'answered',
			status: 200,
			contentType: 'text/plain',
			body: attemptId,
		};
		this._post({type: 'answerCompleted', attemptId, usage, outcome});
	}

	private _relay(requestId: string, attemptId: string): void {
		const observation = this._observe(requestId);
		observation.startedAt ??= this.now;
		if (this._owners.get(attemptId) !== observation) {
			this.violations.push(`${attemptId} was relayed to ${requestId}`);
		}

		if (observation.relayed.size > 0) {
			this.violations.push(`${requestId} got parts of two answers`);
		}
	}

	private _end(command: FinalCommand): void {
		const observation = this._observe(command.requestId);
		observation.finals.push(command);
		observation.finalAt = this.now;
		if (
			command.type === 'finishAnswer' &&
			this._owners.get(command.attemptId) !== observation
		) {
			this.violations.push(`${command.requestId} got another's answer`);
		}
	}

	private _catchUp(): void {
		for (const ops of this._ahead) {
			this._advance(ops);
		}

		if (this._ahead.length > 0) {
			this._ahead = [];
			this._post({type: 'configAdvanced'});
		}
	}

	private _advance(ops: readonly ConfigOp[]): void {
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

	private _observe(requestId: string): Observation {
		return this.observations.get(requestId)!;
	}

	private _chance(share: number): boolean {
		return this._random() < share;
	}

	private _after(mostMs: number, run: () => void): void {
		this._at(this.now + this._random() * mostMs, run);
	}

	private _at(at: number, run: () => void): void {
		this._queue.push({at, order: this._order++, run});
	}

	/** The next thing to happen: what was scheduled, or a tick. */
	private _takeNext(): Scheduled | undefined {
		let next: Scheduled | undefined;
		for (const item of this._queue) {
			if (
				next === undefined ||
				item.at < next.at ||
				(item.at === next.at && item.order < next.order)
			) {
				next = item;
			}
		}

		const wakeAt = this._wakeAt();
		if (wakeAt !== undefined && (next === undefined || wakeAt < next.at)) {
			return {
				at: wakeAt,
				order: 0,
				run: () => {
					this._post({type: 'tick'});
				},
			};
		}

		if (next !== undefined) {
			this._queue.splice(this._queue.indexOf(next), 1);
		}

		return next;
	}

	/** Probes go on for ever; ticks matter while something is open. */
	private _wakeAt(): number | undefined {
		return this.core.stats().openRequests > 0
			? this.core.nextWakeAt()
			: undefined;
	}
}

function hostOf(index: number): AgentHost {
	return {
		role: 'agent',
		id: `s${index}`,
		zone: `z${index % 3}`,
		region: 'r1',
		peerAddress: `10.0.0.${index}:1`,
		state: 'live',
		backend:
			index < 4
				? {kind: 'engine', baseModel: 'base'}
				: {kind: 'service', service: 'yard'},
	};
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
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}

function initialOps(): readonly ConfigOp[] {
	const key = {customer: 'c', salt: '', digest: '', issuedAt: 0};
	return [
		{
			op: 'putCustomer',
			customer: {name: 'c', tokensPerSecond: 1, burstTokens: 1, weight: 1},
		},
		{
			op: 'putAdapter',
			adapter: {
				name: 'a',
				baseModel: 'base',
				customers: [],
				versions: [{name: 'v', weights: 'w'}],
				currentVersion: 'v',
			},
		},
		{
			op: 'putRoute',
			route: {
				name: 'orders',
				target: {kind: 'service', service: 'yard'},
				customers: [],
				isRepeatable: false,
				tokensPerCall: 1,
			},
		},
		{op: 'issueKey', key: {id: 'k1', ...key}},
		{op: 'issueKey', key: {id: 'k2', ...key}},
	];
}
