import {quantile, type ServingFigures} from './figures.js';
import type {RunResult} from './run-seeds.js';

/** A figure of the report: how to read it, and which end of it is the worse one. */
type Column = {
	readonly title: string;
	readonly value: (figures: ServingFigures) => number;
	readonly isLowGood: boolean;
	readonly digits: number;
};

const percent = 100;

const columns: readonly Column[] = [
	{
		title: 'answered %',
		value: f => f.answeredShare * percent,
		isLowGood: false,
		digits: 1,
	},
	{
		title: 'stalled by load %',
		value: f => f.loadWaitShare * percent,
		isLowGood: true,
		digits: 1,
	},
	{
		title: 'stall p50 ms',
		value: f => f.loadWaitP50Ms,
		isLowGood: true,
		digits: 0,
	},
	{
		title: 'stall p99 ms',
		value: f => f.loadWaitP99Ms,
		isLowGood: true,
		digits: 0,
	},
	{
		title: 'loads/min',
		value: f => f.loadsPerMinute,
		isLowGood: true,
		digits: 0,
	},
	{
		title: 'requests/batch',
		value: f => f.requestsPerBatch,
		isLowGood: false,
		digits: 2,
	},
	{
		title: 'tokens/s',
		value: f => f.tokensPerSecond,
		isLowGood: false,
		digits: 0,
	},
	{
		title: 'first token p99 ms',
		value: f => f.firstTokenP99Ms,
		isLowGood: true,
		digits: 0,
	},
	{
		title: 'worst customer: served %',
		value: f => f.worstServedShare * percent,
		isLowGood: false,
		digits: 1,
	},
	{
		title: 'worst customer: p99 ms',
		value: f => f.worstFirstTokenP99Ms,
		isLowGood: true,
		digits: 0,
	},
	{title: 'Jain', value: f => f.jainIndex, isLowGood: false, digits: 3},
	{
		title: 'refused inside rate /10,000',
		value: f => f.rateRefusedInsidePer10000,
		isLowGood: true,
		digits: 1,
	},
	{
		title: 'refused otherwise /10,000',
		value: f => f.otherRefusedPer10000,
		isLowGood: true,
		digits: 1,
	},
	{
		title: 'refusals with a time %',
		value: f => f.retryTimeShare * percent,
		isLowGood: false,
		digits: 0,
	},
	{title: 'lost or cut', value: f => f.lostOrCut, isLowGood: true, digits: 0},
	{
		title: 'engine crashes',
		value: f => f.engineCrashes,
		isLowGood: true,
		digits: 0,
	},
	{
		title: 'cold overruns',
		value: f => f.overruns,
		isLowGood: true,
		digits: 0,
	},
];

/** Median and worst of a figure over the seeds, as `median (worst)`. */
function cellOf(column: Column, results: readonly RunResult[]): string {
	const values = results.map(({figures}) => column.value(figures));
	const median = quantile(values, 0.5);
	const worst = column.isLowGood ? Math.max(...values) : Math.min(...values);
	return `${median.toFixed(column.digits)} (${worst.toFixed(column.digits)})`;
}

/** Writes a Markdown table: a row for each figure, a column for each experiment and policy. */
export function formatReport(results: readonly RunResult[]): string {
	const groups = groupBy(
		results,
		({experiment, policy}) => `${experiment}, ${policy}`,
	);
	const names = [...groups.keys()];
	const rows = columns.map(column => {
		const cells = [...groups.values()].map(group => cellOf(column, group));
		return `| ${[column.title, ...cells].join(' | ')} |`;
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
