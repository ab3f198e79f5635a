import {performance} from 'node:perf_hooks';
import {createRandom} from '@balsamtray/core';
import {SpreadSimulation} from '../../spread/spread-simulation.js';
import type {SpreadFaults, SpreadPolicy} from '../../spread/types.js';
import {adapterOf, exampleState} from './example-state.js';
import type {WireMeasure} from './measure-wire.js';

const millisecondsPerSecond = 1000;
const microsecondsPerTenthOfPermille = 100;
const tenthsOfPermille = 10_000;
const millisecondsPerDay = 24 * 60 * 60 * millisecondsPerSecond;
const changesPerDay = 60_000;
const meanChangeIntervalMs = millisecondsPerDay / changesPerDay;
/** Time after the last change in which it must have come into force. */
const settleMs = 10_000;

const noFaults: SpreadFaults = {
	lossShare: 0,
	isStoreDown: false,
	storeDelayMs: 5,
	storeLossShare: 0,
};

/** What one run simulates. */
export type SpreadRunOptions = {
	readonly name: string;
	readonly seed: number;
	readonly processCount: number;
	readonly regionCount: number;
	readonly durationMs: number;
	readonly policy?: SpreadPolicy;
	readonly lossShare?: number;
	/** Time for which one region is cut off, before the measured time. */
	readonly cutMs?: number;
	/** Share of accepted changes whose author never hears of it. */
	readonly lostAnswerShare?: number;
};

/** What one run showed. Times are in milliseconds. */
export type SpreadRunResult = {
	readonly name: string;
	readonly seed: number;
	readonly processes: number;
	readonly changes: number;
	/** Changes that were in force everywhere at the end. */
	readonly inForceEverywhere: number;
	readonly everywhereP50Ms: number;
	readonly everywhereP99Ms: number;
	readonly everywhereMaxMs: number;
	readonly callsPerProcessSecond: number;
	/** Calls that the busiest process sent or got, a second. */
	readonly mostCallsPerSecond: number;
	/** Bytes sent and received by each process. */
	readonly bytesPerProcessSecond: number;
	readonly newConnectionsPerProcessSecond: number;
	/** Processor time of the calls, worked out from that of one call, as a share of one core. */
	readonly coreShareOfCalls: number;
	readonly storeReadsPerSecond: number;
	/** Time from the end of the cut until the cut region had all changes. */
	readonly cutCaughtUpMs?: number;
	/** Bytes that each process of the cut region pulled to catch up. */
	readonly cutBytesPerProcess?: number;
	readonly wallSeconds: number;
};

/** Runs one fleet at 60,000 changes a day. */
export class SpreadRun {
	static create(options: SpreadRunOptions, wire: WireMeasure): SpreadRun {
		return new SpreadRun(options, wire);
	}

	private readonly _simulation: SpreadSimulation;
	private readonly _random;
	/** Processes that each change has reached, by its version. */
	private readonly _reached = new Map<number, number>();
	private readonly _acceptedAt = new Map<number, number>();
	private readonly _everywhereMs: number[] = [];

	private constructor(
		private readonly _options: SpreadRunOptions,
		private readonly _wire: WireMeasure,
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
			nearDelayMs: 1,
			farDelayMs: 60,
		};
		this._simulation = SpreadSimulation.create(
			fleet,
			(_process, from, to) => {
				this._noteAdvance(from, to);
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
		const cut = this._options.cutMs === undefined ? {} : this._runCut();
		this._reset();
		this._changeFor(this._options.durationMs);
		const counted = this._countedRates();
		this._simulation.clock.advance(settleMs);
		const times = this._everywhereMs.toSorted((a, b) => a - b);
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
			...cut,
			wallSeconds: round((performance.now() - startedAt) / 1000),
		};
	}

	/** Cuts region 1 off, mends the cut, and times how long the region takes to catch up. */
	private _runCut() {
		const simulation = this._simulation;
		const {cutMs = 0} = this._options;
		simulation.faults = {...simulation.faults, cutRegion: 1};
		this._changeFor(cutMs);
		const {cutRegion: _, ...mended} = simulation.faults;
		simulation.faults = mended;
		const pulledBefore = simulation.counts.pulledChanges;
		const mendedAt = simulation.clock.now;
		const target = simulation.acceptedVersion;
		const cutOff = simulation.processes.filter(({region}) => region === 1);
		while (
			cutOff.some(({replica}) => replica.state.version < target) &&
			simulation.clock.now - mendedAt < cutMs
		) {
			simulation.clock.advance(1);
		}

		const pulled = simulation.counts.pulledChanges - pulledBefore;
		return {
			cutCaughtUpMs: simulation.clock.now - mendedAt,
			cutBytesPerProcess: Math.round(
				(pulled / cutOff.length) * this._wire.bytesPerChange,
			),
		};
	}

	private _reset(): void {
		this._reached.clear();
		this._acceptedAt.clear();
		this._everywhereMs.length = 0;
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

	/** Accepts changes at random times, as many as in a day of 60,000. */
	private _changeFor(durationMs: number): void {
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
		const isAnswerLost = this._random() < (this._options.lostAnswerShare ?? 0);
		this._acceptedAt.set(version, clock.now);
		const isAccepted = this._simulation.change(
			author,
			[{op: 'putAdapter', adapter}],
			isAnswerLost,
		);
		if (!isAccepted) {
			this._acceptedAt.delete(version);
		}
	}

	private _noteAdvance(from: number, to: number): void {
		for (let version = from + 1; version <= to; version++) {
			const acceptedAt = this._acceptedAt.get(version);
			if (acceptedAt === undefined) {
				continue;
			}

			const reached = (this._reached.get(version) ?? 0) + 1;
			this._reached.set(version, reached);
			if (reached === this._options.processCount) {
				this._everywhereMs.push(this._simulation.clock.now - acceptedAt);
			}
		}
	}

	/** A call takes its processor time at two ends, an equal part at each. */
	private _coreShare(ends: number): number {
		const {counts} = this._simulation;
		const {cpuMicrosecondsPerExchange, cpuMicrosecondsPerConnection} =
			this._wire;
		const microseconds =
			(counts.exchanges + counts.pulls) * cpuMicrosecondsPerExchange +
			counts.newConnections * cpuMicrosecondsPerConnection;
		return (
			Math.round((microseconds * ends) / 2 / microsecondsPerTenthOfPermille) /
			tenthsOfPermille
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
		// Each call has two ends, and each end sends or receives all of its bytes.
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
