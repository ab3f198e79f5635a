import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {ConfigView} from '../config/types.js';
import {createRandom, type Random} from '../common/random.js';
import type {BackendKind} from '../membership/types.js';
import {AgentCore} from './agent-core.js';
import {type AgentPolicy, defaultAgentPolicy} from './agent-policy.js';
import {
	ColdStartWindow,
	type ConcurrencyWindow,
	createFixedWindow,
} from './concurrency-window.js';
import type {
	AgentCommand,
	AgentEvent,
	AgentLimits,
	AgentSettings,
	BackendFault,
	Dispatch,
} from './types.js';

const settings: AgentSettings = {
	server: 's1',
	zone: 'z1',
	incarnation: 'i1',
	backend: {kind: 'engine', baseModel: 'base'},
	limits: {
		adapterSlots: 3,
		coldWindow: 2,
		maxWindow: 8,
		maxQueued: 12,
		loadTimeoutMs: 1000,
	},
};

const healthIntervalMs = 500;
const downMs = 60;

/** One step of a schedule. */
type Step =
	| {
			readonly kind: 'dispatch';
			readonly adapter: number;
			readonly customer: number;
			readonly timeLeftMs: number;
			readonly keyId: number;
			/** Number of configuration versions by which the entry is behind. */
			readonly lag: number;
	  }
	| {readonly kind: 'repeat' | 'cancel'; readonly pick: number}
	| {readonly kind: 'changeSubject'; readonly subject: string}
	| {readonly kind: 'withdraw'; readonly keyId: number}
	| {readonly kind: 'zone'; readonly isOut: boolean}
	| {
			readonly kind:
				| 'restart'
				| 'failLoad'
				/** The load takes effect, but it is reported as failed because its answer is lost. */
				| 'loseLoad'
				| 'failUnload'
				/** The unload takes effect, but it is reported as failed because its answer is lost. */
				| 'loseUnload'
				/** The next health report lists no loaded adapters. */
				| 'emptyHealthReport'
				| 'shutdown'
				| 'wait';
	  };

type Schedule = ReadonlyArray<{readonly afterMs: number; readonly step: Step}>;

/** Configuration that the schedule changes, with a reference check for dispatches. */
class FakeConfig {
	static create(): FakeConfig {
		return new FakeConfig();
	}

	version = 1;
	isZoneOut = false;
	readonly withdrawn = new Set<string>();
	/** Version of the last change by subject. */
	readonly changeVersions = new Map<string, number>();

	private constructor() {}

	recordChange(subject: string): void {
		this.version++;
		this.changeVersions.set(subject, this.version);
	}

	view(): ConfigView {
		const none = () => undefined;
		return {
			version: this.version,
			documentDigest: '',
			customer: none,
			adapter: none,
			route: none,
			key: none,
			isKeyWithdrawn: id => this.withdrawn.has(id),
			isZoneOut: zone => this.isZoneOut && zone === settings.zone,
			isServerDrained: () => false,
			lastChangeVersion: subject => this.changeVersions.get(subject) ?? 0,
			customers: () => [],
			adapters: () => [],
			routes: () => [],
			toSnapshot() {
				throw new Error('not used');
			},
		};
	}

	allows({customer, keyId = '', target, configVersion}: Dispatch): boolean {
		const subject =
			target.kind === 'adapter'
				? `adapter:${target.adapter}`
				: `route:${target.route}`;
		const isBehind = [`customer:${customer}`, `key:${keyId}`, subject].some(
			name => (this.changeVersions.get(name) ?? 0) > configVersion,
		);
		return !isBehind && !this.isZoneOut && !this.withdrawn.has(keyId);
	}
}

/** What differs between simulations. */
type Variant = {
	readonly backend?: BackendKind;
	readonly policy?: AgentPolicy;
};

/** Runs a core against a simulated engine in virtual time and checks each command against the engine's state. */
class Simulation {
	static create(
		seed: number,
		{backend = settings.backend, policy = defaultAgentPolicy}: Variant,
	): Simulation {
		return new Simulation(createRandom(seed), backend, policy);
	}

	readonly outcomes = new Map<string, string>();
	readonly ran = new Set<string>();
	isDrained = false;

	private readonly _config = FakeConfig.create();
	private readonly _core: AgentCore;

	private readonly _dispatches: Dispatch[] = [];
	private readonly _cancelled = new Set<string>();
	private readonly _due: Array<{
		readonly at: number;
		readonly action: () => void;
	}> = [];

	private _now = 1000;
	private _boot = 1;
	private _bootedAt = 0;
	private _isUp = true;
	private _isShutDown = false;
	private _isNextReportEmpty = false;
	private _seenBoot = 0;
	private _maxConcurrent = settings.limits.coldWindow;
	private readonly _loaded = new Set<string>();
	private readonly _running = new Map<string, string>();
	private readonly _loadFaults: Array<'failLoad' | 'loseLoad'> = [];
	private readonly _unloadFaults: Array<'failUnload' | 'loseUnload'> = [];

	private constructor(
		private readonly _random: Random,
		private readonly _backend: BackendKind,
		policy: AgentPolicy,
	) {
		this._core = AgentCore.create({
			settings: {...settings, backend: _backend},
			config: () => this._config.view(),
			policy,
		});
	}

	run(schedule: Schedule): void {
		this._pollHealth();
		this._advance(10);
		for (const {afterMs, step} of schedule) {
			this._advance(afterMs);
			this._applyStep(step);
		}

		this._advance(30_000);
		this._check();
	}

	private _check(): void {
		for (const {attemptId} of this._dispatches) {
			assert.ok(this.outcomes.has(attemptId), `${attemptId} has no outcome`);
		}

		const status = this._core.status(undefined, this._now);
		assert.equal(status.running + status.queued, 0);
		assert.equal(this.isDrained, this._isShutDown);
	}

	private _advance(ms: number): void {
		const end = this._now + ms;
		for (;;) {
			const wakeAt = this._core.nextWakeAt() ?? Infinity;
			const next = this._due[0]?.at ?? Infinity;
			const at = Math.max(this._now, Math.min(wakeAt, next));
			if (at > end) {
				break;
			}

			this._now = at;
			if (next <= wakeAt) {
				this._due.shift()?.action();
			} else {
				this._handle({type: 'tick'});
				assert.ok(
					(this._core.nextWakeAt() ?? Infinity) > this._now,
					'a tick must not be due again immediately',
				);
			}
		}

		this._now = end;
	}

	private _after(ms: number, action: () => void): void {
		const at = this._now + ms;
		let index = this._due.length;
		while (index > 0 && this._due[index - 1]!.at > at) {
			index--;
		}

		this._due.splice(index, 0, {at, action});
	}

	private _applyStep(step: Step): void {
		switch (step.kind) {
			case 'dispatch': {
				this._dispatch(step);
				break;
			}

			case 'repeat':
			case 'cancel': {
				this._applyToAttempt(step);
				break;
			}

			case 'changeSubject': {
				this._config.recordChange(step.subject);
				this._handle({type: 'configAdvanced'});
				break;
			}

			case 'withdraw': {
				this._config.withdrawn.add(`k${step.keyId}`);
				this._config.recordChange(`key:k${step.keyId}`);
				this._handle({type: 'configAdvanced'});
				break;
			}

			case 'zone': {
				this._config.isZoneOut = step.isOut;
				this._config.recordChange('zone:z1');
				this._handle({type: 'configAdvanced'});
				break;
			}

			case 'restart': {
				this._restart();
				break;
			}

			case 'emptyHealthReport': {
				this._isNextReportEmpty = true;
				break;
			}

			case 'failLoad':
			case 'loseLoad': {
				this._loadFaults.push(step.kind);
				break;
			}

			case 'failUnload':
			case 'loseUnload': {
				this._unloadFaults.push(step.kind);
				break;
			}

			case 'shutdown': {
				this._isShutDown = true;
				this._handle({type: 'shutdownRequested'});
				break;
			}

			case 'wait': {
				break;
			}
		}
	}

	private _dispatch(step: Step & {readonly kind: 'dispatch'}): void {
		const attemptId = `a${this._dispatches.length}`;
		const dispatch: Dispatch = {
			attemptId,
			requestId: attemptId,
			entryId: 'e1',
			configVersion: Math.max(1, this._config.version - step.lag),
			customer: `c${step.customer}`,
			weight: 1,
			keyId: `k${step.keyId}`,
			target:
				this._backend.kind === 'service'
					? {kind: 'service', service: 'stock', route: `m${step.adapter}`}
					: {
							kind: 'adapter',
							adapter: `m${step.adapter}`,
							version: '1',
							weights: 'w',
						},
			isRepeatable: true,
			promptTokens: 10,
			maxTokens: 20,
			timeLeftMs: step.timeLeftMs,
			fingerprint: `f${attemptId}`,
		};
		this._dispatches.push(dispatch);
		this._handle({type: 'dispatchArrived', dispatch});
	}

	private _applyToAttempt({
		kind,
		pick,
	}: Step & {readonly kind: 'repeat' | 'cancel'}): void {
		const dispatch = this._dispatches[pick % this._dispatches.length];
		if (!dispatch) {
			return;
		}

		const {attemptId} = dispatch;
		if (kind === 'repeat') {
			this._handle({type: 'dispatchArrived', dispatch});
		} else if (!this.outcomes.has(attemptId)) {
			this._cancelled.add(attemptId);
			this._end(attemptId, 'cancelled');
			this._handle({type: 'dispatchCancelled', attemptId});
		}
	}

	private _restart(): void {
		if (!this._isUp) {
			return;
		}

		this._isUp = false;
		this._loaded.clear();
		for (const attemptId of this._running.keys()) {
			this._after(this._random() * 20, () => {
				this._fail(attemptId, 'connection_lost');
			});
		}

		this._running.clear();
		this._after(downMs + this._random() * 900, () => {
			this._isUp = true;
			this._boot++;
			this._bootedAt = this._now;
			this._maxConcurrent = settings.limits.coldWindow;
		});
	}

	private _pollHealth(): void {
		this._requestHealth();
		this._after(healthIntervalMs, () => {
			this._pollHealth();
		});
	}

	private _requestHealth(): void {
		const askedAt = this._now;
		const isUp = this._isUp;
		const boot = this._boot;
		const health = {
			bootId: `b${boot}`,
			uptimeMs: this._now - this._bootedAt,
			loadedAdapters: this._isNextReportEmpty ? [] : [...this._loaded],
		};
		this._isNextReportEmpty = false;
		this._after(1, () => {
			if (isUp) {
				this._seenBoot = boot;
				this._handle({type: 'backendHealthy', health, askedAt});
			} else {
				this._handle({type: 'backendUnreachable'});
			}
		});
	}

	private _handle(event: AgentEvent): void {
		for (const command of this._core.handle(event, this._now)) {
			this._execute(command);
		}
	}

	private _execute(command: AgentCommand): void {
		switch (command.type) {
			case 'runOnBackend': {
				this._runAttempt(command.attemptId, command.servedName ?? '');
				break;
			}

			case 'cancelOnBackend': {
				const {attemptId} = command;
				this._running.delete(attemptId);
				this._after(1, () => {
					this._handle({
						type: 'answerFailed',
						attemptId,
						fault: 'connection_lost',
					});
				});
				break;
			}

			case 'loadAdapter': {
				this._load(command.loadId, command.servedName);
				break;
			}

			case 'unloadAdapter': {
				this._unload(command.loadId, command.servedName);
				break;
			}

			case 'refuse': {
				this._onRefused(command);
				break;
			}

			case 'checkHealth': {
				this._requestHealth();
				break;
			}

			case 'drained': {
				this.isDrained = true;
				break;
			}

			case 'reportSuspects': {
				break;
			}
		}
	}

	private _runAttempt(attemptId: string, servedName: string): void {
		const dispatch = this._dispatches.find(
			({attemptId: id}) => id === attemptId,
		);
		assert.ok(dispatch && !this.ran.has(attemptId), 'ran twice');
		assert.ok(!this.outcomes.has(attemptId), 'ran after its outcome');
		assert.ok(this._config.allows(dispatch), 'ran against the configuration');
		if (!this._isUp) {
			this._after(1, () => {
				this._fail(attemptId, 'unreachable');
			});
			return;
		}

		if (servedName !== '' && !this._loaded.has(servedName)) {
			assert.notEqual(this._seenBoot, this._boot, 'ran without its adapter');
			this._after(1, () => {
				this._fail(attemptId, 'rejected');
			});
			return;
		}

		this.ran.add(attemptId);
		this._running.set(attemptId, servedName);
		assert.ok(
			this._running.size <= this._maxConcurrent,
			'exceeds the concurrency limit of the engine',
		);
		const boot = this._boot;
		this._after(5 + this._random() * 400, () => {
			if (boot === this._boot && this._running.delete(attemptId)) {
				this._maxConcurrent++;
				this._end(attemptId, 'answered');
				this._handle({
					type: 'answerCompleted',
					attemptId,
					usage: {promptTokens: 10, completionTokens: 20},
				});
			}
		});
	}

	private _load(loadId: string, servedName: string): void {
		const fault = this._loadFaults.shift();
		const boot = this._boot;
		this._after(10 + this._random() * 300, () => {
			const isSame = this._isUp && boot === this._boot;
			const hasRoom = this._loaded.size < settings.limits.adapterSlots;
			const hasEffect = isSame && hasRoom && fault !== 'failLoad';
			if (hasEffect) {
				this._loaded.add(servedName);
			}

			this._handle(
				hasEffect && fault !== 'loseLoad'
					? {type: 'loadCompleted', loadId, bootId: `b${boot}`}
					: {type: 'loadFailed', loadId, reason: 'fault'},
			);
		});
	}

	private _unload(loadId: string, servedName: string): void {
		assert.ok(
			![...this._running.values()].includes(servedName),
			'evicted while in use',
		);
		const fault = this._unloadFaults.shift();
		this._after(1 + this._random() * 5, () => {
			assert.ok(
				![...this._running.values()].includes(servedName),
				'evicted while in use',
			);
			if (this._isUp && fault !== 'failUnload') {
				this._loaded.delete(servedName);
			}

			this._handle(
				this._isUp && fault === undefined
					? {type: 'unloadCompleted', loadId}
					: {type: 'unloadFailed', loadId, reason: 'fault'},
			);
		});
	}

	private _fail(attemptId: string, fault: BackendFault): void {
		if (!this._cancelled.has(attemptId)) {
			this._handle({type: 'answerFailed', attemptId, fault});
		}
	}

	private _onRefused(command: AgentCommand & {readonly type: 'refuse'}): void {
		const {attemptId, refusal, isRepetition} = command;
		if (isRepetition) {
			assert.equal(refusal.notRun, false);
			return;
		}

		if (refusal.notRun) {
			assert.ok(!this.ran.has(attemptId), 'ran, but was refused as not run');
		}

		this._end(attemptId, refusal.code);
	}

	private _end(attemptId: string, outcome: string): void {
		assert.equal(this.outcomes.get(attemptId), undefined, 'two outcomes');
		this.outcomes.set(attemptId, outcome);
	}
}

const upTo = (max: number) => fc.integer({min: 0, max});

const dispatchStep = fc.record({
	kind: fc.constant('dispatch' as const),
	adapter: upTo(5),
	customer: upTo(2),
	timeLeftMs: fc.integer({min: 1, max: 4000}),
	keyId: upTo(3),
	lag: upTo(1),
});

const faultSteps: Readonly<Record<string, fc.Arbitrary<Step>>> = {
	restart: fc.constant({kind: 'restart'}),
	loads: fc.constantFrom({kind: 'failLoad'}, {kind: 'loseLoad'}),
	emptyReports: fc.constant({kind: 'emptyHealthReport'}),
	unloads: fc.constantFrom({kind: 'failUnload'}, {kind: 'loseUnload'}),
	attempts: fc.record({
		kind: fc.constantFrom('repeat' as const, 'cancel' as const),
		pick: upTo(1000),
	}),
	configuration: fc.oneof(
		fc.record({
			kind: fc.constant('changeSubject' as const),
			subject: fc.constantFrom('customer:c0', 'adapter:m1', 'adapter:other'),
		}),
		fc.record({kind: fc.constant('withdraw' as const), keyId: upTo(3)}),
		fc.record({kind: fc.constant('zone' as const), isOut: fc.boolean()}),
	),
	shutdown: fc.constant({kind: 'shutdown'}),
};

/** Generates schedules of mostly dispatches, interleaved with the named faults. */
function schedules(faults: readonly string[]): fc.Arbitrary<Schedule> {
	return fc.array(
		fc.record({
			afterMs: fc.oneof(
				{weight: 3, arbitrary: upTo(3)},
				{weight: 1, arbitrary: upTo(200)},
				{weight: 1, arbitrary: upTo(1500)},
			),
			step: fc.oneof(
				{weight: 10, arbitrary: dispatchStep},
				...faults.map(name => ({weight: 1, arbitrary: faultSteps[name]!})),
			),
		}),
		{maxLength: 60, size: 'max'},
	);
}

function checkSchedules(
	numRuns: number,
	faults: readonly string[],
	variant: Variant = {},
): void {
	fc.assert(
		fc.property(schedules(faults), fc.nat(), (schedule, seed) => {
			const simulation = Simulation.create(seed, variant);
			simulation.run(schedule);
		}),
		{numRuns, seed: 20_260_109, includeErrorInReport: true},
	);
}

const service: BackendKind = {kind: 'service', service: 'stock'};

/** Creates a cold start window that assumes that the backend server never restarts undetected. */
function createWindowIgnoringRestarts(limits: AgentLimits): ConcurrencyWindow {
	const window = ColdStartWindow.create(limits);
	window.onIdle = () => undefined;
	window.onPossibleRestart = () => undefined;
	return window;
}

describe('AgentCore', () => {
	describe('with any schedule, checked by the engine', () => {
		it('keeps its guarantees without faults', () => {
			checkSchedules(200, []);
		});

		it('keeps its guarantees when the engine restarts', () => {
			checkSchedules(300, ['restart']);
		});

		it('keeps its guarantees when loads and unloads fail or lose their answers', () => {
			checkSchedules(200, ['loads', 'unloads']);
		});

		it('keeps its guarantees with combined faults', () => {
			checkSchedules(300, ['restart', 'loads', 'unloads']);
			checkSchedules(300, ['restart', 'emptyReports']);
		});

		it('keeps its guarantees with a plain service that restarts', () => {
			checkSchedules(600, ['restart', 'attempts'], {backend: service});
		});

		it('keeps its guarantees when entries repeat and cancel attempts and the configuration changes', () => {
			checkSchedules(300, ['attempts', 'configuration', 'restart']);
		});

		it('keeps its guarantees with all faults and a shutdown', () => {
			checkSchedules(300, Object.keys(faultSteps));
		});
	});

	describe('without protection against undetected restarts', () => {
		it('overloads a cold service if the window ignores possible restarts', () => {
			const policy = {
				...defaultAgentPolicy,
				createWindow: createWindowIgnoringRestarts,
			};
			assert.throws(() => {
				checkSchedules(600, ['restart', 'attempts'], {
					backend: service,
					policy,
				});
			}, /exceeds the concurrency limit of the engine/v);
		});

		it('overloads a cold engine if the window is fixed', () => {
			const policy = {...defaultAgentPolicy, createWindow: createFixedWindow};
			assert.throws(() => {
				checkSchedules(300, ['restart'], {policy});
			}, /exceeds the concurrency limit of the engine/v);
		});
	});
});
