import {performance} from 'node:perf_hooks';
import {createRandom} from '@balsamtray/core';
import {SpreadSimulation} from '../../spread/spread-simulation.js';
import type {SpreadFaults, SpreadPolicy} from '../../spread/types.js';
import {adapterOf, exampleState} from './example-state.js';
import type {WireMeasurement} from './measure-wire.js';

const millisecondsPerSecond = 1000;
/** The share of a core is rounded to 0.0001, which is 100 µs a second. */
const microsecondsPerShareStep = 100;
const shareStepsPerCore = 10_000;
const millisecondsPerDay = 24 * 60 * 60 * millisecondsPerSecond;
const changesPerDay = 60_000;
const meanChangeIntervalMs = millisecondsPerDay / changesPerDay;
/** Time that the simulation continues after the last change, in milliseconds. Later convergence is not counted. */
const settleMs = 10_000;

const noFaults: SpreadFaults = {
	lossShare: 0,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** Parameters of one simulated fleet. */
export type SpreadRunOptions = {
	readonly name: string;
	readonly seed: number;
	readonly processCount: number;
	readonly regionCount: number;
	readonly durationMs: number;
	readonly policy?: SpreadPolicy;
	readonly lossShare?: number;
	/** Time for which one region is partitioned before the measurement starts, in milliseconds. */
	readonly partitionMs?: number;
	/** Share of accepted changes whose author never receives the store's response. */
	readonly lostResponseShare?: number;
};

/** Figures of one run. Latencies are in milliseconds, from acceptance until the change is in force everywhere. */
export type SpreadRunResult = {
	readonly name: string;
	readonly seed: number;
	readonly processes: number;
	readonly changes: number;
	/** Changes that were in force on all processes at the end. */
	readonly inForceEverywhere: number;
	readonly everywhereP50Ms: number;
	readonly everywhereP99Ms: number;
	readonly everywhereMaxMs: number;
	readonly callsPerProcessSecond: number;
	/** Calls a second that the busiest process sent or received. */
	readonly mostCallsPerSecond: number;
	/** Mean bytes a second that a process sent and received. */
	readonly bytesPerProcessSecond: number;
	readonly newConnectionsPerProcessSecond: number;
	/** CPU time of the calls as a share of one core, computed from the measured time of one call. */
	readonly coreShareOfCalls: number;
	readonly storeReadsPerSecond: number;
	/** Time from the end of the partition until the partitioned region had all changes, in milliseconds. */
	readonly cutCaughtUpMs?: number;
	/** Mean bytes that a process of the partitioned region pulled to catch up. */
	readonly cutBytesPerProcess?: number;
	readonly wallSeconds: number;
};

/** Simulates one fleet under 60,000 configuration changes a day. */
export class SpreadRun {
	static create(options: SpreadRunOptions, wire: WireMeasurement): SpreadRun {
		return new SpreadRun(options, wire);
	}

	private readonly _simulation: SpreadSimulation;
	private readonly _random;
	/** Number of processes that each change has reached, by version. */
	private readonly _reachedCounts = new Map<number, number>();
	private readonly _acceptedAt = new Map<number, number>();
	private readonly _convergenceMs: number[] = [];

	private constructor(
		private readonly _options: SpreadRunOptions,
		private readonly _wire: WireMeasurement,
	) {
		const {seed, processCount, regionCount, policy = 'exchange'} = _options;
		this._random = createRandom(seed);
		const state = exampleState({
			customers: 10,
			adapters: 100,
			routes: 10,
			keys: 10,
		});
		const fleet = {
			seed,
			processCount,
			regionCount,
			policy,
			intraRegionDelayMs: 1,
			interRegionDelayMs: 60,
		};
		this._simulation = SpreadSimulation.create(
			fleet,
			(_process, from, to) => {
				this._recordAdvance(from, to);
			},
			state,
		);
		this._simulation.faults = {
			...noFaults,
			lossShare: _options.lossShare ?? 0,
		};
	}

	run(): SpreadRunResult {
		const startedAt = performance.now();
		const partitionFigures =
			this._options.partitionMs === undefined ? {} : this._runPartition();
		this._reset();
		this._generateChanges(this._options.durationMs);
		const counted = this._countedRates();
		this._simulation.clock.advance(settleMs);
		const times = this._convergenceMs.toSorted((a, b) => a - b);
		const {name, seed, processCount} = this._options;
		return {
			name,
			seed,
			processes: processCount,
			changes: this._acceptedAt.size,
			inForceEverywhere: times.length,
			everywhereP50Ms: quantile(times, 0.5),
			everywhereP99Ms: quantile(times, 0.99),
			everywhereMaxMs: quantile(times, 1),
			...counted,
			...partitionFigures,
			wallSeconds: round((performance.now() - startedAt) / 1000),
		};
	}

	/** Partitions region 1, heals the partition and measures how long the region takes to catch up. */
	private _runPartition() {
		const simulation = this._simulation;
		const {partitionMs = 0} = this._options;
		simulation.faults = {...simulation.faults, partitionedRegion: 1};
		this._generateChanges(partitionMs);
		const {partitionedRegion: _, ...healed} = simulation.faults;
		simulation.faults = healed;
		const pulledBefore = simulation.counts.pulledChanges;
		const healedAt = simulation.clock.now;
		const target = simulation.acceptedVersion;
		const partitioned = simulation.processes.filter(({region}) => region === 1);
		while (
			partitioned.some(({replica}) => replica.state.version < target) &&
			simulation.clock.now - healedAt < partitionMs
		) {
			simulation.clock.advance(1);
		}

		const pulled = simulation.counts.pulledChanges - pulledBefore;
		return {
			cutCaughtUpMs: simulation.clock.now - healedAt,
			cutBytesPerProcess: Math.round(
				(pulled / partitioned.length) * this._wire.bytesPerChange,
			),
		};
	}

	private _reset(): void {
		this._reachedCounts.clear();
		this._acceptedAt.clear();
		this._convergenceMs.length = 0;
		const {counts, processes} = this._simulation;
		Object.assign(counts, {
			exchanges: 0,
			pulls: 0,
			pulledChanges: 0,
			pulledSnapshots: 0,
			storeReads: 0,
			newConnections: 0,
		});
		for (const process of processes) {
			process.calls = 0;
		}
	}

	/** Generates changes as a Poisson process at 60,000 a day. */
	private _generateChanges(durationMs: number): void {
		const {clock} = this._simulation;
		const end = clock.now + durationMs;
		while (clock.now < end) {
			const wait = -Math.log(1 - this._random()) * meanChangeIntervalMs;
			clock.advance(Math.min(Math.max(1, Math.round(wait)), end - clock.now));
			if (clock.now < end) {
				this._change();
			}
		}
	}

	private _change(): void {
		const {clock, acceptedVersion, processes} = this._simulation;
		const version = acceptedVersion + 1;
		const adapter = adapterOf(version % 100, version);
		const author = Math.floor(this._random() * processes.length);
		const isResponseLost =
			this._random() < (this._options.lostResponseShare ?? 0);
		this._acceptedAt.set(version, clock.now);
		const isAccepted = this._simulation.change(
			author,
			[{op: 'putAdapter', adapter}],
			isResponseLost,
		);
		if (!isAccepted) {
			this._acceptedAt.delete(version);
		}
	}

	private _recordAdvance(from: number, to: number): void {
		for (let version = from + 1; version <= to; version++) {
			const acceptedAt = this._acceptedAt.get(version);
			if (acceptedAt === undefined) {
				continue;
			}

			const reached = (this._reachedCounts.get(version) ?? 0) + 1;
			this._reachedCounts.set(version, reached);
			if (reached === this._options.processCount) {
				this._convergenceMs.push(this._simulation.clock.now - acceptedAt);
			}
		}
	}

	/** Returns the share of a core. Each end of a call uses half of the call's CPU time. */
	private _coreShare(ends: number): number {
		const {counts} = this._simulation;
		const {cpuMicrosecondsPerExchange, cpuMicrosecondsPerConnection} =
			this._wire;
		const microseconds =
			(counts.exchanges + counts.pulls) * cpuMicrosecondsPerExchange +
			counts.newConnections * cpuMicrosecondsPerConnection;
		return (
			Math.round((microseconds * ends) / 2 / microsecondsPerShareStep) /
			shareStepsPerCore
		);
	}

	private _countedRates() {
		const {counts, processes} = this._simulation;
		const seconds = this._options.durationMs / millisecondsPerSecond;
		const bytes =
			counts.exchanges * this._wire.bytesPerExchange +
			counts.pulls * this._wire.bytesPerPull +
			counts.newConnections * this._wire.bytesPerConnection +
			Math.max(0, counts.pulledChanges - counts.pulls) *
				this._wire.bytesPerChange;
		const calls = processes.map(process => process.calls);
		// Each call has two ends, and each end sends or receives all bytes of the call.
		const ends = 2 / (processes.length * seconds);
		return {
			callsPerProcessSecond: round((counts.exchanges + counts.pulls) * ends),
			mostCallsPerSecond: round(Math.max(...calls) / seconds),
			bytesPerProcessSecond: Math.round(bytes * ends),
			newConnectionsPerProcessSecond: round(counts.newConnections * ends),
			coreShareOfCalls: this._coreShare(ends),
			storeReadsPerSecond: round(counts.storeReads / seconds),
		};
	}
}

function quantile(sorted: readonly number[], share: number): number {
	const index = Math.ceil(share * sorted.length) - 1;
	return sorted[Math.max(0, index)] ?? Number.NaN;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
