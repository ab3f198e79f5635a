import type {BackendRecord, RecordedRequest} from './backend-record.js';

const maxRecordedRequests = 50_000;
const maxRecordedPriorities = 1000;
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

/** Records the requests, loads and faults of an engine or plain service. */
export class BackendRecorder {
	static create(): BackendRecorder {
		return new BackendRecorder();
	}

	private readonly _requests: RecordedRequest[];
	private readonly _runsByRef = new Map<string, number>();
	private readonly _runsByRequestId = new Map<string, number>();
	private readonly _counts = new Map<Counter, number>();
	private readonly _priorities: number[] = [];
	private _maxConcurrentRequests = 0;

	private constructor() {
		this._requests = [];
	}

	count(counter: Counter): void {
		this._counts.set(counter, this._countOf(counter) + 1);
	}

	/** Counts the request in `keysSeen` if its URL, headers or body contain a caller's API key. */
	checkForKeys(
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

	recordStart(
		request: Omit<RecordedRequest, 'ref' | 'beganAt'>,
		body: string,
		concurrentRequests: number,
	): void {
		const recordedRequest = {...request, beganAt: Date.now()};
		const ref = refPattern.exec(body)?.groups?.ref;
		if (this._requests.length < maxRecordedRequests) {
			this._requests.push(
				ref === undefined ? recordedRequest : {...recordedRequest, ref},
			);
		}

		increment(this._runsByRequestId, request.requestId);
		if (ref !== undefined) {
			increment(this._runsByRef, ref);
		}

		this._maxConcurrentRequests = Math.max(
			this._maxConcurrentRequests,
			concurrentRequests,
		);
	}

	recordPriority(priority: number): void {
		if (this._priorities.length < maxRecordedPriorities) {
			this._priorities.push(priority);
		}
	}

	clear(): void {
		this._requests.length = 0;
		this._priorities.length = 0;
		this._runsByRef.clear();
		this._runsByRequestId.clear();
		this._counts.clear();
		this._maxConcurrentRequests = 0;
	}

	toRecord(): BackendRecord {
		return {
			requests: [...this._requests],
			runsByRef: Object.fromEntries(this._runsByRef),
			runsByRequestId: Object.fromEntries(this._runsByRequestId),
			completed: this._countOf('completed'),
			cancelled: this._countOf('cancelled'),
			mostAtOnce: this._maxConcurrentRequests,
			keysSeen: this._countOf('keysSeen'),
			crashes: this._countOf('crashes'),
			loads: this._countOf('loads'),
			failedLoads: this._countOf('failedLoads'),
			unloads: this._countOf('unloads'),
			evictionsInUse: this._countOf('evictionsInUse'),
			overruns: this._countOf('overruns'),
			fencedOrders: this._countOf('fencedOrders'),
			priorities: [...this._priorities],
		};
	}

	private _countOf(counter: Counter): number {
		return this._counts.get(counter) ?? 0;
	}
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
