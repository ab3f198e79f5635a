import type {BackendRecord, RanRequest} from './backend-record.js';

const mostRequestsKept = 50_000;
const mostPrioritiesKept = 1000;
const keyPattern = /\bbt_\w/v;
const refPattern = /ref=(?<ref>[\w\-]+)/v;

type Counter =
	| 'completed'
	| 'cancelled'
	| 'keysSeen'
	| 'crashes'
	| 'loads'
	| 'failedLoads'
	| 'unloads'
	| 'evictionsInUse'
	| 'overruns'
	| 'fencedOrders';

/** Keeps what an engine or plain service saw. */
export class BackendRecorder {
	static create(): BackendRecorder {
		return new BackendRecorder();
	}

	private readonly _requests: RanRequest[];
	private readonly _runsByRef = new Map<string, number>();
	private readonly _runsByRequestId = new Map<string, number>();
	private readonly _counts = new Map<Counter, number>();
	private readonly _priorities: number[] = [];
	private _mostAtOnce = 0;

	private constructor() {
		this._requests = [];
	}

	count(counter: Counter): void {
		this._counts.set(counter, this._of(counter) + 1);
	}

	/** Notes whether a caller's key came with a request. */
	inspect(
		url: string,
		headers: Readonly<Record<string, unknown>>,
		body: string,
	): void {
		const isKeySeen = [url, JSON.stringify(headers), body].some(text =>
			keyPattern.test(text),
		);
		if (isKeySeen) {
			this.count('keysSeen');
		}
	}

	began(
		request: Omit<RanRequest, 'ref' | 'beganAt'>,
		body: string,
		runningNow: number,
	): void {
		const began = {...request, beganAt: Date.now()};
		const ref = refPattern.exec(body)?.groups?.ref;
		if (this._requests.length < mostRequestsKept) {
			this._requests.push(ref === undefined ? began : {...began, ref});
		}

		increment(this._runsByRequestId, request.requestId);
		if (ref !== undefined) {
			increment(this._runsByRef, ref);
		}

		this._mostAtOnce = Math.max(this._mostAtOnce, runningNow);
	}

	sawPriority(priority: number): void {
		if (this._priorities.length < mostPrioritiesKept) {
			this._priorities.push(priority);
		}
	}

	clear(): void {
		this._requests.length = 0;
		this._priorities.length = 0;
		this._runsByRef.clear();
		this._runsByRequestId.clear();
		this._counts.clear();
		this._mostAtOnce = 0;
	}

	toRecord(): BackendRecord {
		return {
			requests: [...this._requests],
			runsByRef: Object.fromEntries(this._runsByRef),
			runsByRequestId: Object.fromEntries(this._runsByRequestId),
			completed: this._of('completed'),
			cancelled: this._of('cancelled'),
			mostAtOnce: this._mostAtOnce,
			keysSeen: this._of('keysSeen'),
			crashes: this._of('crashes'),
			loads: this._of('loads'),
			failedLoads: this._of('failedLoads'),
			unloads: this._of('unloads'),
			evictionsInUse: this._of('evictionsInUse'),
			overruns: this._of('overruns'),
			fencedOrders: this._of('fencedOrders'),
			priorities: [...this._priorities],
		};
	}

	private _of(counter: Counter): number {
		return this._counts.get(counter) ?? 0;
	}
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
