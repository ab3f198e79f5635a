import type {BackendRecorder} from '../common/backend-recorder.js';
import type {FaultInjector} from '../common/fault-injector.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {AdapterSlots} from './adapter-slots.js';
import {ResponseSwapper} from './response-swapper.js';
import {Batch} from './batch.js';
import {ColdStart} from './cold-start.js';
import type {CompletionRequest} from './completion-request.js';
import type {CompletionIdentity} from './completion-text.js';
import type {EngineSettings} from './engine-settings.js';
import {DelayedLoad} from './delayed-load.js';

/** Receives the tokens of a completion as the engine generates them. */
export type CompletionSink = {
	/** Called for each token. Tokens are numbered from 1. */
	onToken(token: number, identity: CompletionIdentity): void;
	onCompleted(identity: CompletionIdentity): void;
	/** Called if the adapter is unloaded or the engine restarts. */
	onFailed(): void;
};

/** A request to run on a loaded adapter, and the sink for its tokens. */
export type BeginOptions = {
	readonly bootId: string;
	readonly request: CompletionRequest;
	readonly identity: CompletionIdentity;
	readonly bodyText: string;
	readonly sink: CompletionSink;
};

type Job = {
	readonly request: CompletionRequest;
	readonly sink: CompletionSink;
};

/** Multiplier of the step time while a cold engine has more requests than it can handle. */
const overloadSlowdownFactor = 10;

/** Simulates an engine: its adapter slots, its batch and the timer that runs the batch steps. */
export class Engine {
	static create(
		settings: EngineSettings,
		faults: FaultInjector<EngineFaults>,
		recorder: BackendRecorder,
	): Engine {
		return new Engine(settings, faults, recorder);
	}

	readonly slots: AdapterSlots;
	readonly load = DelayedLoad.create();
	private readonly _batch: Batch;
	private readonly _coldStart: ColdStart;
	private readonly _responseSwapper = ResponseSwapper.create();
	private readonly _jobs = new Map<string, Job>();
	private readonly _settings: EngineSettings;
	private readonly _faults: FaultInjector<EngineFaults>;
	private readonly _recorder: BackendRecorder;
	private _nextJob = 1;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(
		settings: EngineSettings,
		faults: FaultInjector<EngineFaults>,
		recorder: BackendRecorder,
	) {
		this._settings = settings;
		this._faults = faults;
		this._recorder = recorder;
		this.slots = AdapterSlots.create(settings.slots);
		this._batch = Batch.create(settings);
		this._coldStart = ColdStart.create(
			settings.coldMaxRunning,
			settings.maxRunning,
		);
	}

	/** Starts a request on a loaded adapter. Returns a function that cancels it. */
	begin(options: BeginOptions): () => void {
		const {request, identity, sink} = options;
		const jobId = `job-${this._nextJob++}`;
		const {requestId, servedName} = identity;
		this._jobs.set(jobId, {request, sink});
		this._responseSwapper.begin(jobId, identity);
		this._recorder.recordStart(
			{requestId, servedName, bootId: options.bootId},
			options.bodyText,
			this._jobs.size,
		);
		this._recorder.recordPriority(request.priority);
		if (!this._coldStart.canHandle(this._jobs.size)) {
			this._recorder.count('overruns');
		}

		this.slots.beginUse(servedName);
		this._batch.add({
			id: jobId,
			priority: request.priority,
			prefillSteps: Math.floor(
				request.prompt.length / 4 / this._settings.prefillTokensPerStep,
			),
			tokens: request.tokens,
		});
		this._injectResponseFaults(jobId);
		this._schedule();
		return () => {
			this._cancel(jobId);
		};
	}

	/** Frees an adapter's slot and fails the requests that run on it. Returns false if the adapter has no slot. */
	unload(servedName: string): boolean {
		const freed = this.slots.free(servedName);
		if (freed === undefined) {
			return false;
		}

		this._recorder.count('unloads');
		if (freed.wasInUse) {
			this._recorder.count('evictionsInUse');
			this._failMatching(job => job.request.servedName === servedName);
		}

		return true;
	}

	/** Unloads all adapters, fails all requests and makes the engine cold, as a restart does. */
	reset(): void {
		this._failMatching(() => true);
		this.slots.clear();
		this._coldStart.reset();
	}

	/** Makes the engine cold again without a restart. */
	goCold(): void {
		this._coldStart.reset();
	}

	private _injectResponseFaults(jobId: string): void {
		const {crossAnswers = 0, lateAnswers = 0} = this._faults.switches;
		if (
			crossAnswers > 0 &&
			this._jobs.size > 1 &&
			this._faults.consume('crossAnswers')
		) {
			this._responseSwapper.swap(jobId);
		}

		if (lateAnswers > 0 && this._faults.consume('lateAnswers')) {
			this._responseSwapper.replayLastEnded(jobId);
		}
	}

	private _cancel(jobId: string): void {
		if (this._jobs.has(jobId)) {
			this._recorder.count('cancelled');
			this._remove(jobId);
		}
	}

	private _remove(jobId: string): void {
		const job = this._jobs.get(jobId);
		if (job !== undefined) {
			this.slots.endUse(job.request.servedName);
		}

		this._jobs.delete(jobId);
		this._responseSwapper.end(jobId);
		this._batch.remove(jobId);
	}

	private _failMatching(shouldFail: (job: Job) => boolean): void {
		for (const [jobId, job] of this._jobs) {
			if (shouldFail(job)) {
				this._remove(jobId);
				job.sink.onFailed();
			}
		}
	}

	private _schedule(): void {
		this.load.record(
			{
				running: this._batch.runningCount,
				waiting: this._batch.waitingCount,
			},
			Date.now(),
		);
		if (this._timer === undefined && this._jobs.size > 0) {
			this._timer = setTimeout(() => {
				this._timer = undefined;
				void this._step();
			}, this._batch.stepMs() * this._slowdownFactor());
		}
	}

	private _slowdownFactor(): number {
		if (!this._coldStart.canHandle(this._jobs.size)) {
			return overloadSlowdownFactor;
		}

		return this._coldStart.isCold ? this._settings.coldSlowdownFactor : 1;
	}

	private async _step(): Promise<void> {
		await this._faults.waitWhileFrozen();
		const {tokens, completed} = this._batch.step();
		for (const {id, token} of tokens) {
			const identity = this._responseSwapper.identityOf(id);
			if (identity !== undefined) {
				this._jobs.get(id)?.sink.onToken(token, identity);
			}
		}

		for (const jobId of completed) {
			this._complete(jobId);
		}

		this._schedule();
	}

	private _complete(jobId: string): void {
		const job = this._jobs.get(jobId);
		const identity = this._responseSwapper.identityOf(jobId);
		this._remove(jobId);
		if (job !== undefined && identity !== undefined) {
			this._recorder.count('completed');
			this._coldStart.recordCompletion();
			job.sink.onCompleted(identity);
		}
	}
}
