import {maxRunning} from './constants.js';
import {quantile, type ServingFigures} from './figures.js';
import type {RunResult} from './run-seeds.js';

/** Parts of a score, each from 0 (worst) to 1 (best). */
type ScoreParts = {
	/** One minus the share of requests that were refused although the customer's rate had room for them. */
	readonly notRefused: number;
	/** Share of requests answered in the experiment that takes a zone out and brings it back. */
	readonly zoneService: number;
	/** Served share of the worst-served customer. */
	readonly worstServed: number;
	/** Share of answers that did not wait for an adapter load. */
	readonly notStalled: number;
	/** Mean number of requests that a busy engine runs at once, relative to its maximum. */
	readonly batch: number;
};

type Weights = Readonly<Record<keyof ScoreParts, number>>;

/** Lakeshore's weights: refusals inside the rate and service during zone changes count most. */
const lakeshoreWeights: Weights = {
	notRefused: 0.35,
	zoneService: 0.35,
	worstServed: 0.1,
	notStalled: 0.1,
	batch: 0.1,
};

/** Prairie Canvas's weights: the worst-served customer and load stalls count most. */
const prairieCanvasWeights: Weights = {
	notRefused: 0.1,
	zoneService: 0.1,
	worstServed: 0.35,
	notStalled: 0.35,
	batch: 0.1,
};

const tenThousand = 10_000;

function notRefusedOf(figures: ServingFigures): number {
	const refused =
		figures.otherRefusedPer10000 + figures.rateRefusedInsidePer10000;
	return 1 - refused / tenThousand;
}

function medianOf(
	results: readonly RunResult[],
	value: (figures: ServingFigures) => number,
): number {
	return quantile(
		results.map(({figures}) => value(figures)),
		0.5,
	);
}

function partsOf(results: readonly RunResult[]): ScoreParts {
	const inZone = results.filter(({experiment}) => experiment === 'zone');
	return {
		notRefused: medianOf(results, notRefusedOf),
		zoneService: medianOf(inZone, figures => figures.answeredShare),
		worstServed: medianOf(results, figures => figures.worstServedShare),
		notStalled: medianOf(results, figures => 1 - figures.loadWaitShare),
		batch: medianOf(results, figures => figures.requestsPerBatch / maxRunning),
	};
}

function scoreOf(parts: ScoreParts, weights: Weights): string {
	const sum =
		parts.notRefused * weights.notRefused +
		parts.zoneService * weights.zoneService +
		parts.worstServed * weights.worstServed +
		parts.notStalled * weights.notStalled +
		parts.batch * weights.batch;
	return (sum * 100).toFixed(1);
}

/**
 * Formats a Markdown table with two scores per policy, from 0 to 100.
 * The scores weight the same parts by the priorities of two organisations that run the system.
 */
export function formatScores(results: readonly RunResult[]): string {
	const policies = [...new Set(results.map(({policy}) => policy))];
	const rows = policies.map(policy => {
		const parts = partsOf(results.filter(result => result.policy === policy));
		return `| ${policy} | ${scoreOf(parts, lakeshoreWeights)} | ${scoreOf(parts, prairieCanvasWeights)} |`;
	});
	return [
		'| policy | Lakeshore | Prairie Canvas |',
		'| --- | --- | --- |',
		...rows,
	].join('\n');
}
