/** Two scores over all experiments, with the weights that the two organisations of the brief give the measures. */
import {maxRunning} from './constants.js';
import {quantile, type ServingFigures} from './figures.js';
import type {RunResult} from './run-seeds.js';

/** Parts of a score, each from 0 (bad) to 1 (good). */
type ScoreParts = {
	/** Requests that were not refused, of those that the customers' rates have room for. */
	readonly notRefused: number;
	/** Requests answered while a zone leaves and returns. */
	readonly zoneService: number;
	/** Requests of the worst-served customer that were answered. */
	readonly worstServed: number;
	/** Answers that did not wait for an adapter load. */
	readonly notStalled: number;
	/** Requests that an engine runs at once, of those that it can. */
	readonly batch: number;
};

type Weights = Readonly<Record<keyof ScoreParts, number>>;

/** Refusals within the rate and the service of zones count most. */
const lakeshore: Weights = {
	notRefused: 0.35,
	zoneService: 0.35,
	worstServed: 0.1,
	notStalled: 0.1,
	batch: 0.1,
};

/** The worst-served customer and load stalls count most. */
const prairieCanvas: Weights = {
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

/** Writes a Markdown table with both scores, in points of 100, for each policy. */
export function formatScores(results: readonly RunResult[]): string {
	const policies = [...new Set(results.map(({policy}) => policy))];
	const rows = policies.map(policy => {
		const parts = partsOf(results.filter(result => result.policy === policy));
		return `| ${policy} | ${scoreOf(parts, lakeshore)} | ${scoreOf(parts, prairieCanvas)} |`;
	});
	return [
		'| policy | Lakeshore | Prairie Canvas |',
		'| --- | --- | --- |',
		...rows,
	].join('\n');
}
