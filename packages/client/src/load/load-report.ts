import type {LatencySummary, LoadReport} from './types.js';

/** Describes the result of a load run, one string per line. */
export function describeLoad(report: LoadReport): readonly string[] {
	const reasons = Object.entries(report.reasons).toSorted(
		([, a], [, b]) => b - a,
	);
	return [
		`sent ${report.sent} requests in ${report.durationMs / 1000} s (${report.ratePerSecond} per second, seed ${report.seed})`,
		...reasons.map(([reason, count]) => `${reason}: ${count}`),
		`time to first byte ${describeLatency(report.firstByte)}`,
		`complete response ${describeLatency(report.total)}`,
	];
}

function describeLatency(summary: LatencySummary): string {
	const {p50, p90, p95, p99, max} = summary;
	return `p50 ${p50} ms, p90 ${p90} ms, p95 ${p95} ms, p99 ${p99} ms, max ${max} ms`;
}
