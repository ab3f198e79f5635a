import {measureState, type StateMeasurement} from './spread/measure-state.js';
import {measureWire, type WireMeasurement} from './spread/measure-wire.js';
import {
	SpreadRun,
	type SpreadRunOptions,
	type SpreadRunResult,
} from './spread/spread-run.js';

const secondMs = 1000;
const hourMs = 60 * 60 * secondMs;
const processCounts = [15, 300, 3000, 12_000];

/** Result of measuring how configuration changes propagate. */
export type SpreadMeasurement = {
	readonly seed: number;
	readonly state: StateMeasurement;
	readonly wire: WireMeasurement;
	/** Limits that the figures must meet. */
	readonly limits: {
		readonly bytesPerProcessSecond: number;
		readonly everywhereMs: number;
		readonly storeReadsPerSecond: number;
	};
	readonly runs: readonly SpreadRunResult[];
};

/**
 * Measures the cost of the configuration state, the cost of peer calls and the propagation of changes.
 * The same seed gives the same runs.
 */
export async function measureSpread(
	seed: number,
	onProgress: (line: string) => void = () => undefined,
): Promise<SpreadMeasurement> {
	const state = measureState();
	const wire = await measureWire();
	const runs = runOptions(seed).map(options => {
		onProgress(`spread: ${options.name}, ${options.processCount} processes`);
		return SpreadRun.create(options, wire).run();
	});
	return {
		seed,
		state,
		wire,
		limits: {
			bytesPerProcessSecond: 25_000,
			everywhereMs: 5000,
			storeReadsPerSecond: 2000,
		},
		runs,
	};
}

function runOptions(seed: number): readonly SpreadRunOptions[] {
	const sizes = processCounts.map(processCount => ({
		name: 'exchange',
		seed,
		processCount,
		regionCount: processCount === 15 ? 1 : 7,
		durationMs: 60 * secondMs,
	}));
	const large = {seed, processCount: 12_000, regionCount: 7};
	return [
		...sizes,
		{
			...large,
			name: 'exchange, half of the messages lost each way',
			durationMs: 30 * secondMs,
			lossShare: 0.5,
		},
		{
			...large,
			name: 'exchange, authors never hear of one change in five',
			durationMs: 60 * secondMs,
			lostResponseShare: 0.2,
		},
		{
			...large,
			name: 'exchange, one region of seven cut for an hour',
			processCount: 300,
			durationMs: 60 * secondMs,
			partitionMs: hourMs,
		},
		{
			...large,
			name: 'polls only, at the same reads of the store',
			durationMs: 60 * secondMs,
			policy: 'pollsOnly',
		},
		{
			...large,
			name: 'fixed tree of fan-out 16',
			durationMs: 60 * secondMs,
			policy: 'tree',
		},
		{
			...large,
			name: 'fixed tree of fan-out 16, 1 in 100 messages lost',
			durationMs: 60 * secondMs,
			policy: 'tree',
			lossShare: 0.01,
		},
	];
}
