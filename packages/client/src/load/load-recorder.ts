import {build, type Histogram} from 'hdr-histogram-js';
import type {
	LatencySummary,
	LoadOutcome,
	LoadPlan,
	LoadReport,
	LoadSecond,
} from './types.js';

const millisecondsPerSecond = 1000;
const significantDigits = 3;
const maxLatencyMs = 60 * 60 * millisecondsPerSecond;

type SecondCounts = {
	due: number;
	ok: number;
	refused: number;
	failed: number;
	readonly firstByte: Histogram;
};

/** Collects the outcomes and latencies of a load run. */
export class LoadRecorder {
	static create(): LoadRecorder {
		return new LoadRecorder();
	}

	private readonly _reasons = new Map<string, number>();
	private readonly _firstByte = createHistogram();
	private readonly _total = createHistogram();
	private readonly _seconds: SecondCounts[] = [];
	private _sent = 0;
	private _completed = 0;

	private constructor() {
		// Instances come from `create`.
	}

	/** Records that a request was sent. `dueMs` is its due time in milliseconds since the start of the run. */
	recordSent(dueMs: number): void {
		this._sent++;
		this._countsFor(dueMs).due++;
	}

	/** Records the outcome of a request. `dueMs` is its due time in milliseconds since the start of the run. */
	recordEnd(dueMs: number, outcome: LoadOutcome): void {
		this._completed++;
		const {reason} = outcome;
		this._reasons.set(reason, (this._reasons.get(reason) ?? 0) + 1);
		const second = this._countsFor(dueMs);
		if (outcome.isOk) {
			second.ok++;
			second.firstByte.recordValue(clamp(outcome.firstByteMs ?? 0));
			this._firstByte.recordValue(clamp(outcome.firstByteMs ?? 0));
			this._total.recordValue(clamp(outcome.totalMs));
		} else if (outcome.isNotRun) {
			second.refused++;
		} else {
			second.failed++;
		}
	}

	/** Returns one line that describes the progress of the run. */
	progress(): string {
		const reasons = [...this._reasons]
			.toSorted(([, a], [, b]) => b - a)
			.map(([reason, count]) => `${reason} ${count}`);
		const inFlight = this._sent - this._completed;
		return [`sent ${this._sent}`, `in flight ${inFlight}`, ...reasons].join(
			', ',
		);
	}

	report(plan: LoadPlan): LoadReport {
		return {
			ratePerSecond: plan.ratePerSecond,
			durationMs: plan.durationMs,
			seed: plan.seed,
			sent: this._sent,
			reasons: Object.fromEntries(this._reasons),
			firstByte: summarize(this._firstByte),
			total: summarize(this._total),
			seconds: this._seconds.map((counts, second) =>
				toLoadSecond(counts, second),
			),
		};
	}

	private _countsFor(dueMs: number): SecondCounts {
		const index = Math.floor(dueMs / millisecondsPerSecond);
		while (this._seconds.length <= index) {
			this._seconds.push({
				due: 0,
				ok: 0,
				refused: 0,
				failed: 0,
				firstByte: createHistogram(),
			});
		}

		const counts = this._seconds[index];
		if (!counts) {
			throw new RangeError('the due time is before the start of the run');
		}

		return counts;
	}
}

function createHistogram(): Histogram {
	return build({
		bitBucketSize: 'packed',
		autoResize: true,
		highestTrackableValue: maxLatencyMs,
		numberOfSignificantValueDigits: significantDigits,
	});
}

function clamp(milliseconds: number): number {
	return Math.min(maxLatencyMs, Math.max(0, Math.round(milliseconds)));
}

function summarize(histogram: Histogram): LatencySummary {
	return {
		count: histogram.totalCount,
		p50: histogram.getValueAtPercentile(50),
		p90: histogram.getValueAtPercentile(90),
		p95: histogram.getValueAtPercentile(95),
		p99: histogram.getValueAtPercentile(99),
		max: histogram.maxValue,
	};
}

function toLoadSecond(counts: SecondCounts, second: number): LoadSecond {
	const {firstByte, ...rest} = counts;
	return {
		second,
		...rest,
		firstByteP50: firstByte.getValueAtPercentile(50),
		firstByteP99: firstByte.getValueAtPercentile(99),
	};
}
