import type {LengthDistribution} from './length-distribution.js';
import type {OutputLengths, OutputSubject} from './output-lengths.js';

/** Called with the time between two events of a stream, in milliseconds. */
export type IntervalListener = (intervalMs: number, now: number) => void;

/** Output of one request: what it generated so far, and how much is expected to follow. */
export class OutputProgress {
	static create(
		lengths: OutputLengths,
		request: OutputSubject,
	): OutputProgress {
		return new OutputProgress(lengths, request);
	}

	private _distribution: LengthDistribution | undefined;
	private _events = 0;
	private _lastEventAt: number | undefined;
	private _onInterval: IntervalListener | undefined;
	private _hasEnded = false;

	private constructor(
		private readonly _lengths: OutputLengths,
		private readonly _request: OutputSubject,
	) {}

	/** Number of events that the request generated. */
	get events(): number {
		return this._events;
	}

	/** Whether enough streams of the route were seen that its lengths are known. */
	isKnown(now: number): boolean {
		return this._lengths.isKnown(this._request, now);
	}

	/** Expected number of events when the request was first considered. */
	expected(now: number): number {
		return this._lengthsAt(now).mean;
	}

	/** Expected number of events that follow. */
	remaining(now: number): number {
		return this._lengthsAt(now).remaining(this._events);
	}

	/** Number of events that typically follow in a stream of the same route that is found running. */
	residual(now: number): number {
		return this._lengths.residual(this._request, now);
	}

	/** Number of tokens in an event; undefined if it is not known. */
	tokensPerEvent(now: number): number | undefined {
		return this._lengths.tokensPerEvent(this._request, now);
	}

	/** Begins an attempt on a server, whose intervals between events are passed on. */
	begin(onInterval: IntervalListener): void {
		this._lastEventAt = undefined;
		this._onInterval = onInterval;
	}

	noteEvents(count: number, now: number): void {
		if (count === 0) {
			return;
		}

		if (this._lastEventAt !== undefined) {
			this._onInterval?.((now - this._lastEventAt) / count, now);
		}

		this._events += count;
		this._lastEventAt = now;
	}

	/** Learns from the output, once. An output that was cut is known to be longer. */
	end(isComplete: boolean, now: number): void {
		if (!this._hasEnded) {
			this._hasEnded = true;
			this._lengths.note(this._request, this._events, isComplete, now);
		}
	}

	/** How long the output may become, as known when the request was first considered. */
	private _lengthsAt(now: number): LengthDistribution {
		this._distribution ??= this._lengths.distribution(this._request, now);
		return this._distribution;
	}
}
