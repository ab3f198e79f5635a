import {quantile, type ServingFigures} from './figures.js';
import type {RunResult} from './run-seeds.js';

/** A row of the report, which shows one figure. */
type ReportRow = {
	readonly title: string;
	readonly value: (figures: ServingFigures) => number;
	readonly isLowerBetter: boolean;
	readonly digits: number;
};

const percent = 100;

const reportRows: readonly ReportRow[] = [
	{
		title: 'answered %',
		value: f => f.answeredShare * percent,
		isLowerBetter: false,
		digits: 1,
	},
	{
		title: 'stalled by load %',
		value: f => f.loadWaitShare * percent,
		isLowerBetter: true,
		digits: 1,
	},
	{
		title: 'stall p50 ms',
		value: f => f.loadWaitP50Ms,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'stall p99 ms',
		value: f => f.loadWaitP99Ms,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'loads/min',
		value: f => f.loadsPerMinute,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'requests/batch',
		value: f => f.requestsPerBatch,
		isLowerBetter: false,
		digits: 2,
	},
	{
		title: 'tokens/s',
		value: f => f.tokensPerSecond,
		isLowerBetter: false,
		digits: 0,
	},
	{
		title: 'first token p99 ms',
		value: f => f.firstTokenP99Ms,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'worst customer: served %',
		value: f => f.worstServedShare * percent,
		isLowerBetter: false,
		digits: 1,
	},
	{
		title: 'worst customer: p99 ms',
		value: f => f.worstFirstTokenP99Ms,
		isLowerBetter: true,
		digits: 0,
	},
	{title: 'Jain', value: f => f.jainIndex, isLowerBetter: false, digits: 3},
	{
		title: 'refused inside rate /10,000',
		value: f => f.rateRefusedInsidePer10000,
		isLowerBetter: true,
		digits: 1,
	},
	{
		title: 'refused otherwise /10,000',
		value: f => f.otherRefusedPer10000,
		isLowerBetter: true,
		digits: 1,
	},
	{
		title: 'refusals with a time %',
		value: f => f.retryTimeShare * percent,
		isLowerBetter: false,
		digits: 0,
	},
	{
		title: 'lost or cut',
		value: f => f.lostOrCut,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'engine crashes',
		value: f => f.engineCrashes,
		isLowerBetter: true,
		digits: 0,
	},
	{
		title: 'cold overruns',
		value: f => f.overruns,
		isLowerBetter: true,
		digits: 0,
	},
];

/** Formats a figure over the seeds as `median (worst)`. */
function cellOf(row: ReportRow, results: readonly RunResult[]): string {
	const values = results.map(({figures}) => row.value(figures));
	const median = quantile(values, 0.5);
	const worst = row.isLowerBetter ? Math.max(...values) : Math.min(...values);
	return `${median.toFixed(row.digits)} (${worst.toFixed(row.digits)})`;
}

/** Formats a Markdown table with a row per figure and a column per experiment and policy. */
export function formatReport(results: readonly RunResult[]): string {
	const groups = groupBy(
		results,
		({experiment, policy}) => `${experiment}, ${policy}`,
	);
	const names = [...groups.keys()];
	const rows = reportRows.map(row => {
		const cells = [...groups.values()].map(group => cellOf(row, group));
		return `| ${[row.title, ...cells].join(' | ')} |`;
	});
	return [
		`| median (worst) | ${names.join(' | ')} |`,
		`| --- |${' --- |'.repeat(names.length)}`,
		...rows,
	].join('\n');
}

function groupBy(
	results: readonly RunResult[],
	keyOf: (result: RunResult) => string,
): ReadonlyMap<string, readonly RunResult[]> {
	const groups = new Map<string, RunResult[]>();
	for (const result of results) {
		const key = keyOf(result);
		groups.set(key, [...(groups.get(key) ?? []), result]);
	}

	return groups;
}
