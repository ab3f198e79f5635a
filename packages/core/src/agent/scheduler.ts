import {AdapterLoader} from './adapter-loader.js';
import type {AgentPolicy} from './agent-policy.js';
import {isConnectionFault} from './backend-monitor.js';
import type {ConcurrencyWindow} from './concurrency-window.js';
import {deadlineCheckIntervalMs} from './constants.js';
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
import {type InfeasibleRequest, WaitEstimator} from './wait-estimator.js';
import {WaitingRequests} from './waiting-requests.js';

/** Lowest priority that the scheduler assigns. Smaller numbers run sooner. */
const lowestPriority = 9;

/** Time left until the deadline that each priority level covers. */
const priorityStepMs = 1000;

/** Queues requests, starts them within the concurrency window and plans the adapter loads that they need. */
export class Scheduler {
	static create(settings: AgentSettings, policy: AgentPolicy): Scheduler {
		return new Scheduler(settings, policy);
	}

	readonly window: ConcurrencyWindow;
	readonly loader: AdapterLoader;
	readonly waiting: WaitingRequests;
	readonly running = RunningRequests.create();
	readonly estimator: WaitEstimator;

	private readonly _queue: RequestQueue;
	private readonly _serviceTimes = ServiceTimes.create();
	/** Start of the current busy period, in which at least one request runs at any time. Undefined while idle. */
	private _busySince: number | undefined;
	private _nextDeadlineCheckAt = Number.NEGATIVE_INFINITY;
	private _earliestDeadlineAt = Number.POSITIVE_INFINITY;

	private constructor(
		private readonly _settings: AgentSettings,
		policy: AgentPolicy,
	) {
		this._queue = policy.createQueue();
		this.waiting = WaitingRequests.create(this._queue);
		this.window = policy.createWindow(_settings.limits);
		this.loader = AdapterLoader.create(_settings, policy);
		this.estimator = WaitEstimator.create({
			times: this._serviceTimes,
			queue: this._queue,
			waiting: this.waiting,
			running: this.running,
			window: this.window,
			loader: this.loader,
		});
	}

	createRequest(dispatch: Dispatch, now: number): QueuedRequest {
		const {target, promptTokens, maxTokens, timeLeftMs} = dispatch;
		const tokens =
			promptTokens + this._serviceTimes.expectedCompletionTokens(maxTokens);
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

	/** Adds a request to the queue. Returns the dropped request, possibly the new one, if the queue is full. */
	add(request: QueuedRequest): QueuedRequest | undefined {
		const isFull = this.waiting.size >= this._settings.limits.maxQueued;
		const dropped = isFull ? this._queue.pickRequestToDrop(request) : undefined;
		if (dropped === request) {
			return dropped;
		}

		if (dropped) {
			this.waiting.remove(dropped);
		}

		this.waiting.add(request);
		this._earliestDeadlineAt = Math.min(
			this._earliestDeadlineAt,
			request.deadlineAt,
		);
		return dropped;
	}

	/** Removes and returns the requests that can no longer start before their deadlines. */
	takeInfeasible(now: number): readonly InfeasibleRequest[] {
		if (!this._isDeadlineCheckDue(now)) {
			return [];
		}

		this._nextDeadlineCheckAt = now + deadlineCheckIntervalMs;
		const infeasible = this.estimator.findInfeasible(now);
		for (const {request} of infeasible) {
			this.waiting.remove(request);
		}

		this._earliestDeadlineAt = this.waiting.earliestDeadlineAt();
		return infeasible;
	}

	/** Starts the first requests in queue order whose adapter versions are resident, up to the concurrency limit. */
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

	/** Plans the loads and unloads that waiting requests need. */
	planAdapters(now: number): readonly AgentCommand[] {
		return this.loader.plan(
			this.waiting
				.wantedAdapters()
				.filter(({servedName}) => !this.loader.slots.has(servedName)),
			servedName => this.waiting.hasWaiters(servedName),
			now,
		);
	}

	/** Handles a health report. It confirms the boot if the agent requested it within the current busy period. */
	onHealth(askedAt: number): void {
		if (this._busySince !== undefined && askedAt >= this._busySince) {
			this.window.onBootConfirmed();
		}
	}

	onCompleted(attemptId: string, usage: Usage, now: number): void {
		const running = this.running.take(attemptId);
		if (!running) {
			return;
		}

		const {promptTokens, completionTokens} = usage;
		const elapsedMs = now - running.startedAt;
		this._end(running, promptTokens + completionTokens, now);
		this._serviceTimes.onCompleted(
			elapsedMs,
			promptTokens + completionTokens,
			completionTokens,
		);
		this.window.onCompleted(
			completionTokens > 0 ? elapsedMs / completionTokens : undefined,
		);
	}

	/** Removes a running request that ended without a complete answer. Returns undefined if it is not running. */
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
			this.window.onPossibleRestart();
		}

		return running;
	}

	/** Returns the time at which the next timer is due, or undefined if none is pending. */
	nextWakeAt(): number | undefined {
		const times = [this.loader.wakeAt];
		if (this.waiting.size > 0) {
			times.push(Math.min(this._nextDeadlineCheckAt, this._earliestDeadlineAt));
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

	private _isDeadlineCheckDue(now: number): boolean {
		return (
			this.waiting.size > 0 &&
			(now >= this._nextDeadlineCheckAt || now >= this._earliestDeadlineAt)
		);
	}
}

/** Returns a priority from the time left until the deadline: less time means a smaller number, which runs sooner. */
function priorityOf({deadlineAt}: QueuedRequest, now: number): number {
	const steps = Math.floor((deadlineAt - now) / priorityStepMs);
	return Math.min(lowestPriority, Math.max(0, steps));
}
