import type {BackendRecorder} from '../common/backend-recorder.js';
import type {FaultGate} from '../common/fault-injector.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {AdapterSlots} from './adapter-slots.js';
import {AnswerCrossing} from './response-swapper.js';
import {Batch} from './batch.js';
import {ColdStart} from './cold-start.js';
import type {CompletionRequest} from './completion-request.js';
import type {AnswerIdentity} from './completion-text.js';
import type {EngineSettings} from './engine-settings.js';
import {LaggingLoad} from './delayed-load.js';

/** Receives an answer as the engine generates it. */
export type AnswerSink = {
	/** One more token, from 1. */
	onToken(token: number, identity: AnswerIdentity): void;
	onCompleted(identity: AnswerIdentity): void;
	/** The adapter was taken away or the engine started anew. */
	onFailed(): void;
};

/** A request to run on a loaded adapter. */
export type EngineWork = {
	readonly bootId: string;
	readonly request: CompletionRequest;
	readonly identity: AnswerIdentity;
	readonly bodyText: string;
	readonly sink: AnswerSink;
};

type Job = {
	readonly request: CompletionRequest;
	readonly sink: AnswerSink;
};

/** Steps of the batch are this much slower while a cold engine has more than it bears. */
const overrunSlowness = 10;

/** An engine: its slots, its batch and the timer that steps it. */
export class Engine {
	static create(
		settings: EngineSettings,
		faults: FaultGate<EngineFaults>,
		recorder: BackendRecorder,
	): Engine {
		return new Engine(settings, faults, recorder);
	}

	readonly slots: AdapterSlots;
	readonly load = LaggingLoad.create();
	private readonly _batch: Batch;
	private readonly _coldStart: ColdStart;
	private readonly _crossing = AnswerCrossing.create();
	private readonly _jobs = new Map<string, Job>();
	private readonly _settings: EngineSettings;
	private readonly _faults: FaultGate<EngineFaults>;
	private readonly _recorder: BackendRecorder;
	private _nextJob = 1;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(
		settings: EngineSettings,
		faults: FaultGate<EngineFaults>,
		recorder: BackendRecorder,
	) {
		this._settings = settings;
		this._faults = faults;
		this._recorder = recorder;
		this.slots = AdapterSlots.create(settings.slots);
		this._batch = Batch.create(settings);
		this._coldStart = ColdStart.create(settings.coldBears, settings.maxRunning);
	}

	/** Begins a request on a loaded adapter. Returns a function that cancels it. */
	begin(work: EngineWork): () => void {
		const {request, identity, sink} = work;
		const jobId = `job-${this._nextJob++}`;
		const {requestId, servedName} = identity;
		this._jobs.set(jobId, {request, sink});
		this._crossing.begin(jobId, identity);
		this._recorder.began(
			{requestId, servedName, bootId: work.bootId},
			work.bodyText,
			this._jobs.size,
		);
		this._recorder.sawPriority(request.priority);
		if (!this._coldStart.bears(this._jobs.size)) {
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
		this._mixUp(jobId);
		this._schedule();
		return () => {
			this._cancel(jobId);
		};
	}

	/** Frees an adapter's slot and fails what runs on it. Returns false if it has none. */
	unload(servedName: string): boolean {
		const freed = this.slots.free(servedName);
		if (freed === undefined) {
			return false;
		}

		this._recorder.count('unloads');
		if (freed.wasInUse) {
			this._recorder.count('evictionsInUse');
			this._failAll(job => job.request.servedName === servedName);
		}

		return true;
	}

	/** Loses adapters, requests and warmth. */
	reset(): void {
		this._failAll(() => true);
		this.slots.clear();
		this._coldStart.reset();
	}

	goCold(): void {
		this._coldStart.reset();
	}

	private _mixUp(jobId: string): void {
		const {crossAnswers = 0, lateAnswers = 0} = this._faults.switches;
		if (
			crossAnswers > 0 &&
			this._jobs.size > 1 &&
			this._faults.take('crossAnswers')
		) {
			this._crossing.cross(jobId);
		}

		if (lateAnswers > 0 && this._faults.take('lateAnswers')) {
			this._crossing.giveLate(jobId);
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
		this._crossing.end(jobId);
		this._batch.remove(jobId);
	}

	private _failAll(isMeant: (job: Job) => boolean): void {
		for (const [jobId, job] of this._jobs) {
			if (isMeant(job)) {
				this._remove(jobId);
				job.sink.onFailed();
			}
		}
	}

	private _schedule(): void {
		this.load.note(
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
			}, this._batch.stepMs() * this._slowness());
		}
	}

	private _slowness(): number {
		if (!this._coldStart.bears(this._jobs.size)) {
			return overrunSlowness;
		}

		return this._coldStart.isCold ? this._settings.coldSlowness : 1;
	}

	private async _step(): Promise<void> {
		await this._faults.thawed();
		const {tokens, completed} = this._batch.step();
		for (const {id, token} of tokens) {
			const identity = this._crossing.identityOf(id);
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
		const identity = this._crossing.identityOf(jobId);
		this._remove(jobId);
		if (job !== undefined && identity !== undefined) {
			this._recorder.count('completed');
			this._coldStart.completed();
			job.sink.onCompleted(identity);
		}
	}
}
