import {AdapterLoader} from './adapter-loader.js';
import type {AgentPolicy} from './agent-policy.js';
import type {ConcurrencyWindow} from './concurrency-window.js';
import {hopelessCheckIntervalMs} from './constants.js';
import {isConnectionFault} from './crash-watch.js';
import type {QueuedRequest, RequestQueue} from './request-queue.js';
import {type RunningRequest, RunningRequests} from './running-requests.js';
import {ServiceTimes} from './service-times.js';
import type {
	AgentCommand,
	AgentSettings,
	BackendFault,
	Dispatch,
	Usage,
} from './types.js';
import {type HopelessRequest, WaitEstimate} from './wait-estimate.js';
import {WaitingRequests} from './waiting-requests.js';

/** Largest number that the scheduler gives as a priority; smaller numbers run sooner. */
const lowestPriority = 9;
const priorityStepMs = 1000;

/** Lets requests wait, starts them within the window and has adapter versions loaded for them. */
export class Scheduler {
	static create(settings: AgentSettings, policy: AgentPolicy): Scheduler {
		return new Scheduler(settings, policy);
	}

	readonly window: ConcurrencyWindow;
	readonly loader: AdapterLoader;
	readonly waiting: WaitingRequests;
	readonly running = RunningRequests.create();
	readonly estimate: WaitEstimate;

	private readonly _queue: RequestQueue;
	private readonly _times = ServiceTimes.create();
	/** Time since which requests have run without a gap. Undefined while nothing runs. */
	private _busySince: number | undefined;
	private _hopelessCheckAt = Number.NEGATIVE_INFINITY;
	private _earliestDeadlineAt = Number.POSITIVE_INFINITY;

	private constructor(
		private readonly _settings: AgentSettings,
		policy: AgentPolicy,
	) {
		this._queue = policy.createQueue();
		this.waiting = WaitingRequests.create(this._queue);
		this.window = policy.createWindow(_settings.limits);
		this.loader = AdapterLoader.create(_settings, policy);
		this.estimate = WaitEstimate.create({
			times: this._times,
			queue: this._queue,
			waiting: this.waiting,
			running: this.running,
			window: this.window,
			loader: this.loader,
		});
	}

	requestOf(dispatch: Dispatch, now: number): QueuedRequest {
		const {target, promptTokens, maxTokens, timeLeftMs} = dispatch;
		const tokens =
			promptTokens + this._times.expectedCompletionTokens(maxTokens);
		return {
			dispatch,
			...(target.kind === 'adapter' && {
				servedName: `${target.adapter}@${target.version}`,
			}),
			arrivedAt: now,
			deadlineAt: now + timeLeftMs,
			cost: Math.max(1, Math.ceil(tokens)),
		};
	}

	/** Lets a request wait. Returns the request that must go where there is no room for all. */
	add(request: QueuedRequest): QueuedRequest | undefined {
		const isFull = this.waiting.size >= this._settings.limits.maxQueued;
		const drop = isFull ? this._queue.pickDrop(request) : undefined;
		if (drop === request) {
			return drop;
		}

		if (drop) {
			this.waiting.remove(drop);
		}

		this.waiting.add(request);
		this._earliestDeadlineAt = Math.min(
			this._earliestDeadlineAt,
			request.deadlineAt,
		);
		return drop;
	}

	/** Takes out the requests that can't start before their deadlines any more. */
	takeHopeless(now: number): readonly HopelessRequest[] {
		if (!this._isHopelessCheckDue(now)) {
			return [];
		}

		this._hopelessCheckAt = now + hopelessCheckIntervalMs;
		const hopeless = this.estimate.findHopeless(now);
		for (const {request} of hopeless) {
			this.waiting.remove(request);
		}

		this._earliestDeadlineAt = this.waiting.earliestDeadlineAt();
		return hopeless;
	}

	/** Starts the first requests in order whose adapter versions are resident, as many as the window lets in. */
	startReady(now: number): readonly AgentCommand[] {
		const free = this.window.limit() - this.running.size;
		const ready: QueuedRequest[] = [];
		if (free > 0) {
			for (const request of this.waiting.inOrder()) {
				if (this._isReady(request.servedName)) {
					ready.push(request);
				}

				if (ready.length === free) {
					break;
				}
			}
		}

		return ready.map(request => this._start(request, now));
	}

	orderAdapters(now: number): readonly AgentCommand[] {
		return this.loader.plan(
			this.waiting
				.wantedAdapters()
				.filter(({servedName}) => !this.loader.slots.has(servedName)),
			servedName => this.waiting.hasWaiters(servedName),
			now,
		);
	}

	/** A health report showed the boot that was asked for at this time. */
	onHealth(askedAt: number): void {
		if (this._busySince !== undefined && askedAt >= this._busySince) {
			this.window.onWitnessed();
		}
	}

	onCompleted(attemptId: string, usage: Usage, now: number): void {
		const running = this.running.take(attemptId);
		if (!running) {
			return;
		}

		const {promptTokens, completionTokens} = usage;
		const tookMs = now - running.startedAt;
		this._end(running, promptTokens + completionTokens, now);
		this._times.onCompleted(
			tookMs,
			promptTokens + completionTokens,
			completionTokens,
		);
		this.window.onCompleted(
			completionTokens > 0 ? tookMs / completionTokens : undefined,
		);
	}

	/** Takes out a request that ended without a whole answer. */
	takeFailed(
		attemptId: string,
		fault: BackendFault,
		now: number,
	): RunningRequest | undefined {
		const running = this.running.take(attemptId);
		if (!running) {
			return undefined;
		}

		const {request, isCancelled, tokens} = running;
		this._end(running, request.dispatch.promptTokens + tokens, now);
		if (!isCancelled) {
			this.window.onFailed();
		}

		if (!isCancelled && isConnectionFault(fault)) {
			this.window.onSuspicion();
		}

		return running;
	}

	/** Time at which something is due without an event. */
	nextWakeAt(): number | undefined {
		const times = [this.loader.wakeAt];
		if (this.waiting.size > 0) {
			times.push(Math.min(this._hopelessCheckAt, this._earliestDeadlineAt));
		}

		const due = times.filter(time => time !== undefined);
		return due.length === 0 ? undefined : Math.min(...due);
	}

	private _isReady(servedName: string | undefined): boolean {
		return (
			servedName === undefined ||
			this.loader.slots.stateOf(servedName) === 'resident'
		);
	}

	private _start(request: QueuedRequest, now: number): AgentCommand {
		const {servedName, dispatch} = request;
		this.waiting.start(request);
		this._busySince ??= now;
		this.running.add({
			request,
			...(servedName !== undefined && {
				slot: this.loader.acquire(servedName, now),
			}),
			startedAt: now,
			isCancelled: false,
			tokens: 0,
		});
		return {
			type: 'runOnBackend',
			attemptId: dispatch.attemptId,
			...(servedName !== undefined && {servedName}),
			priority: priorityOf(request, now),
		};
	}

	private _end(
		{request, slot}: RunningRequest,
		tokens: number,
		now: number,
	): void {
		if (slot) {
			this.loader.slots.release(slot, now);
		}

		this._queue.onFinished(request, tokens);
		if (this.running.size === 0) {
			this._busySince = undefined;
			this.window.onIdle();
		}
	}

	private _isHopelessCheckDue(now: number): boolean {
		return (
			this.waiting.size > 0 &&
			(now >= this._hopelessCheckAt || now >= this._earliestDeadlineAt)
		);
	}
}

/** The less time is left, the sooner the backend server should run the request. */
function priorityOf({deadlineAt}: QueuedRequest, now: number): number {
	const steps = Math.floor((deadlineAt - now) / priorityStepMs);
	return Math.min(lowestPriority, Math.max(0, steps));
}
