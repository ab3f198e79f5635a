import {adapterKey} from '../authority/authority-view.js';
import {createRandom, type Random} from '../common/random.js';
import {OrderPlanner} from '../orders/order-planner.js';
import {AdapterLoadTimes} from '../placement/adapter-load-times.js';
import {FleetView} from '../placement/fleet-view.js';
import {PromptPacer} from '../placement/prompt-pacer.js';
import type {EngineReport, ServerNeed} from '../placement/types.js';
import type {OutputProgress} from './output-progress.js';

/** One run of the simulated fleet. The same seed gives the same requests and slow periods. */
export type FleetRun = {
	readonly seed: number;
	/** Whether engines report how long work takes on their hosts. Without that, the previous rules apply. */
	readonly reportsPace: boolean;
	/** Whether first loads go before replicas and loads are learned. Otherwise the rules before apply. True if absent. */
	readonly ranksFirstLoads?: boolean;
	readonly engines: number;
	readonly entries: number;
	readonly requestsPerSecond: number;
	/** Length of the prompts against the usual mean of 1,000 tokens. 1 if absent. */
	readonly promptFactor?: number;
	/** Number of adapters that an engine holds. 15 if absent. */
	readonly adapterPlaces?: number;
	/** Number of adapters; the request rate of each is inverse to its rank. */
	readonly adapters: number;
	/** Simulates the streams in detail; absent where only first events count. */
	readonly streams?: FleetStreams;
};

/** Streams of a simulated fleet. */
export type FleetStreams = {
	/** Whether entries learn the lengths of outputs and the time of a step. Without that, the rules of before apply. */
	readonly learns: boolean;
	/** Whether they also choose engines by what is expected to run there. */
	readonly usesLearnedWork?: boolean;
	/** Length of an output in tokens. */
	readonly outputTokens: (random: Random) => number;
	/** The caller's hint of the length; absent if callers give none. */
	readonly hint?: (outputTokens: number, random: Random) => number;
	/** Growth of an engine's step with each running request, in milliseconds. */
	readonly stepGrowthMs?: number;
	/** Tokens that fit into an engine's memory. An engine that runs out of it drops its newest request, which starts anew. */
	readonly memoryTokens?: number;
	/** Maximum of output tokens that a request states; absent if requests state none. */
	readonly maxTokens?: number;
	/** Slow periods: at any engine for a fraction of a second, for 100 ms of 700 at the first one, or always there. */
	readonly slow?: 'anyShort' | 'first100Ms' | 'firstStays';
	/** Time by which reports reach the entries late, in milliseconds. */
	readonly reportDelayMs?: number;
	/** Interval at which all entries get a request at once, in milliseconds, instead of requests at random times. */
	readonly burstMs?: number;
	/** Time at which the first entry loses what it has learned, in milliseconds. */
	readonly restartAt?: number;
	/** Time from which requests count, and that of the last one, in milliseconds, where the streams are long. */
	readonly warmUpMs?: number;
	readonly durationMs?: number;
};

/** Results of the requests that arrived after the warm-up. Times are in milliseconds. */
export type FleetRunResult = {
	readonly calls: number;
	/** Requests whose first event came after the target. */
	readonly late: number;
	readonly refused: number;
	readonly p99FirstEventMs: number;
	/** Mean time to the first event of the slowest tenth; a refused request counts with its wait. */
	readonly worstTenthMs: number;
	readonly loads: number;
	/** Adapters that were loaded onto several engines although fewer requests than `rareRequests` asked for them. */
	readonly rareReplicas: number;
	/** Loads of adapters that an engine held already. */
	readonly replicas: number;
	/** Requests for adapters with fewer requests than `rareRequests`, and their times to the first event. */
	readonly rareCalls: number;
	readonly rareMeanMs: number;
	readonly rareP90Ms: number;
	readonly rareLate: number;
	/** 99th percentile of the mean time between the events of a stream. */
	readonly p99IntervalMs: number;
	/** Requests that an engine without memory dropped. */
	readonly dropped: number;
};

const tokensPerEvent = 4;
const dropRetryMs = 100;

const usualWarmUpMs = 4000;
const usualDurationMs = 12_000;
const targetMs = 900;
const maxWaitMs = 6000;
const hopMs = 1;
const reportIntervalMs = 200;
const loadingReportIntervalMs = 25;
const demandIntervalMs = 100;
const wakeIntervalMs = 10;
const stepMs = 10;
const tokensPerMs = 19;
const slots = 64;
const usualAdapterPlaces = 15;
const loadMs = 270;
const cachedLoadMs = 27;
const loadsAtFullSpeedPerEngine = 28 / 30;
const slowFactor = 2.5;
const slowShare = 0.15;
const slowPeriodMs = 300;
const rareRequests = 3;

type Request = {
	readonly arrivedAt: number;
	readonly adapter: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly entry: Entry;
	readonly output: OutputProgress | undefined;
	/** The entry's view at the time of the arrival. */
	readonly fleet: FleetView;
	/** Whether an engine dropped the request before. */
	readonly isRepeated: boolean;
};

/** A stream at an engine. Tokens count from its first one. */
type Stream = {
	readonly request: Request;
	readonly firstEventAt: number;
	/** Position of the engine's decoding at the first token. */
	readonly from: number;
	generated: number;
	isFirstSent: boolean;
};

type Engine = {
	readonly id: string;
	readonly tokensPerMs: number;
	readonly planner: OrderPlanner;
	readonly pacer: PromptPacer;
	readonly held: Set<string>;
	readonly cached: Set<string>;
	readonly pending: Set<string>;
	readonly inUse: Map<string, number>;
	running: number;
	prefillsUntil: number;
	sequence: number;
	isSlow: boolean;
	/** Tokens that each of its streams would have generated since the start. */
	decoded: number;
	streams: Stream[];
	isOrdering: boolean;
};

type Entry = {
	readonly id: string;
	readonly share: number;
	fleet: FleetView;
	readonly loadTimes: AdapterLoadTimes;
	waiting: Request[];
	isWaking: boolean;
};

/** Simulates entries, agents and engines with the real decisions of entries and agents, in steps of a millisecond. */
export function runEngineFleet(run: FleetRun): FleetRunResult {
	return new EngineFleet(run).run();
}

class EngineFleet {
	private readonly _random: Random;
	private readonly _paceRandom: Random;
	private readonly _due = new Map<number, Array<() => void>>();
	private readonly _engines: readonly Engine[];
	private readonly _entries: readonly Entry[];
	private readonly _cumulated: readonly number[];
	private readonly _firstEvents: number[] = [];
	private readonly _firstEventsOf: Array<readonly [string, number]> = [];
	private _replicas = 0;
	private readonly _requested = new Map<string, number>();
	private readonly _loadedOn = new Map<string, Set<string>>();
	private _now = 0;
	private _loads = 0;
	private _loading = 0;
	private _refused = 0;
	private _dropped = 0;
	private readonly _intervals: number[] = [];

	private readonly _warmUpMs: number;
	private readonly _durationMs: number;

	constructor(private readonly _run: FleetRun) {
		this._warmUpMs = _run.streams?.warmUpMs ?? usualWarmUpMs;
		this._durationMs = _run.streams?.durationMs ?? usualDurationMs;
		const {seed, engines, entries, adapters} = _run;
		this._random = createRandom(seed);
		this._paceRandom = createRandom(seed + 1);
		this._engines = Array.from({length: engines}, (_, i) => {
			const rate = tokensPerMs / (1 + 0.3 * this._random());
			return {
				id: `e${i}`,
				tokensPerMs: rate,
				planner: OrderPlanner.create(),
				pacer: PromptPacer.create(0, () => rate),
				held: new Set(),
				cached: new Set(),
				pending: new Set(),
				inUse: new Map(),
				running: 0,
				prefillsUntil: 0,
				sequence: 0,
				isSlow: false,
				decoded: 0,
				streams: [],
				isOrdering: false,
			};
		});
		this._entries = Array.from({length: entries}, (_, i) => {
			const loadTimes = AdapterLoadTimes.create();
			return {
				id: `f${i}`,
				share: 0.243 + 1.1 * this._random(),
				fleet: this._createFleet(i, loadTimes),
				loadTimes,
				waiting: [],
				isWaking: false,
			};
		});
		let sum = 0;
		this._cumulated = Array.from({length: adapters}, (_, i) => {
			sum += 1 / (i + 1);
			return sum;
		});
	}

	private get _ranksFirstLoads(): boolean {
		return this._run.ranksFirstLoads ?? true;
	}

	run(): FleetRunResult {
		for (const engine of this._engines) {
			this._every(reportIntervalMs, () => {
				this._report(engine);
			});
			this._every(loadingReportIntervalMs, () => {
				this._order(engine);
			});
			this._startSlowPeriods(engine);
		}

		for (const entry of this._entries) {
			this._every(demandIntervalMs, () => {
				this._sendDemands(entry);
			});
		}

		const {burstMs, restartAt} = this._run.streams ?? {};
		if (burstMs === undefined) {
			this._arrive();
		} else {
			this._every(burstMs, () => {
				this._arriveTogether();
			});
		}

		if (restartAt !== undefined) {
			this._in(restartAt, () => {
				this._restart(this._entries[0]!, 0);
			});
		}

		for (; this._now < this._durationMs + maxWaitMs; this._now++) {
			const due = this._due.get(this._now) ?? [];
			this._due.delete(this._now);
			for (const step of due) {
				step();
			}

			if (this._run.streams !== undefined) {
				for (const engine of this._engines) {
					this._decode(engine);
				}
			}
		}

		return this._result();
	}

	private _result(): FleetRunResult {
		const sorted = this._firstEvents.toSorted((a, b) => a - b);
		const worst = sorted.slice(Math.floor(sorted.length * 0.9));
		const rare = this._firstEventsOf
			.filter(([adapter]) => this._requested.get(adapter)! < rareRequests)
			.map(([, ms]) => ms)
			.toSorted((a, b) => a - b);
		return {
			calls: sorted.length,
			late: sorted.filter(ms => ms > targetMs).length - this._refused,
			refused: this._refused,
			p99FirstEventMs: Math.round(sorted[Math.floor(sorted.length * 0.99)]!),
			worstTenthMs: Math.round(
				worst.reduce((sum, ms) => sum + ms, 0) / worst.length,
			),
			loads: this._loads,
			replicas: this._replicas,
			rareCalls: rare.length,
			rareMeanMs: Math.round(
				rare.reduce((sum, ms) => sum + ms, 0) / Math.max(1, rare.length),
			),
			rareP90Ms: Math.round(rare[Math.floor(rare.length * 0.9)] ?? 0),
			rareLate: rare.filter(ms => ms > targetMs).length,
			rareReplicas: [...this._loadedOn].filter(
				([adapter, on]) =>
					on.size > 1 && this._requested.get(adapter)! < rareRequests,
			).length,
			p99IntervalMs: quantileOf(this._intervals, 0.99),
			dropped: this._dropped,
		};
	}

	private _startSlowPeriods(engine: Engine): void {
		const slow = this._run.streams?.slow ?? 'anyShort';
		const isFirst = engine === this._engines[0];
		if (slow === 'anyShort') {
			this._every(slowPeriodMs, () => {
				engine.isSlow = this._paceRandom() < slowShare;
			});
		} else if (slow === 'firstStays') {
			engine.isSlow = isFirst;
		} else if (isFirst) {
			this._every(700, () => {
				engine.isSlow = true;
				this._in(100, () => {
					engine.isSlow = false;
				});
			});
		}
	}

	/** Lets every entry begin a request at once. */
	private _arriveTogether(): void {
		if (this._now < this._durationMs) {
			for (const entry of this._entries) {
				this._startRequest(entry);
			}
		}
	}

	/** Replaces an entry's view by one without history. The requests that it sent end unseen. */
	private _restart(entry: Entry, index: number): void {
		entry.fleet = this._createFleet(index, entry.loadTimes);
		entry.waiting = [];
	}

	/** Lets an engine generate for a millisecond. */
	private _decode(engine: Engine): void {
		const {stepGrowthMs = 0, memoryTokens} = this._run.streams!;
		const pace = engine.isSlow ? slowFactor : 1;
		const step = (stepMs + stepGrowthMs * engine.running) * pace;
		engine.decoded += 1 / step;
		for (const stream of engine.streams) {
			if (stream.firstEventAt > this._now) {
				continue;
			}

			const {request} = stream;
			if (!stream.isFirstSent) {
				stream.isFirstSent = true;
				request.output?.noteEvents(1, this._now);
				this._finish(request, false);
			}

			const generated = Math.min(
				request.outputTokens,
				Math.floor(engine.decoded - stream.from),
			);
			const events =
				Math.floor(generated / tokensPerEvent) -
				Math.floor(stream.generated / tokensPerEvent);
			stream.generated = Math.max(stream.generated, generated);
			request.output?.noteEvents(Math.max(0, events), this._now);
			if (generated === request.outputTokens) {
				this._endStream(engine, stream);
			}
		}

		if (memoryTokens !== undefined) {
			while (memoryOf(engine) > memoryTokens) {
				this._drop(engine, engine.streams.at(-1)!);
			}
		}
	}

	private _endStream(engine: Engine, stream: Stream): void {
		const {request, firstEventAt, generated} = stream;
		this._leave(engine, stream);
		request.output?.end(true, this._now);
		if (request.arrivedAt >= this._warmUpMs && !request.isRepeated) {
			const events = Math.max(1, generated / tokensPerEvent);
			this._intervals.push((this._now - firstEventAt) / events);
		}

		this._wake(request.entry);
	}

	private _drop(engine: Engine, stream: Stream): void {
		this._dropped += stream.request.arrivedAt >= this._warmUpMs ? 1 : 0;
		this._leave(engine, stream);
		this._in(dropRetryMs, () => {
			const {fleet} = stream.request.entry;
			const arrivedAt = this._now;
			this._assign({
				...stream.request,
				output: undefined,
				fleet,
				arrivedAt,
				isRepeated: true,
			});
		});
	}

	private _leave(engine: Engine, stream: Stream): void {
		const {fleet, adapter, output} = stream.request;
		engine.streams = engine.streams.filter(item => item !== stream);
		engine.running--;
		engine.inUse.set(adapter, engine.inUse.get(adapter)! - 1);
		fleet.server(engine.id)!.noteEnded(adapterKey('m', adapter), output);
	}

	private _in(delayMs: number, step: () => void): void {
		const at = this._now + Math.max(1, Math.round(delayMs));
		const due = this._due.get(at);
		if (due === undefined) {
			this._due.set(at, [step]);
		} else {
			due.push(step);
		}
	}

	private _every(intervalMs: number, step: () => void): void {
		const repeat = () => {
			step();
			this._in(intervalMs, repeat);
		};

		this._in(this._paceRandom() * intervalMs, repeat);
	}

	private _createFleet(index: number, loadTimes: AdapterLoadTimes): FleetView {
		const fleet = FleetView.create({
			...(this._ranksFirstLoads && {loadTimes}),
			zone: 'z',
			isZoneOut: () => false,
			newestVersion: () => undefined,
			minVersion: () => 0,
			serviceOf: () => undefined,
			coldBound: () => 0,
			entryCount: () => this._run.entries,
			random: createRandom(this._run.seed + 100 + index),
			usesLearnedWork: this._run.streams?.usesLearnedWork ?? false,
			onNewWant: server => {
				this._sendDemand(this._entries[index]!, server);
			},
		});
		fleet.apply(
			this._engines.map(({id}) => ({
				id,
				rowVersion: 1,
				record: {
					id,
					service: 's',
					address: id,
					zone: 'z',
					slots,
					isDraining: false,
					coldLeftMs: 0,
					models: [{name: 'm', adapters: {}}],
				},
			})),
			0,
		);
		return fleet;
	}

	private _arrive(): void {
		const {requestsPerSecond} = this._run;
		this._in((-Math.log(1 - this._random()) * 1000) / requestsPerSecond, () => {
			if (this._now < this._durationMs) {
				this._startRequest();
				this._arrive();
			}
		});
	}

	private _randomEntry(): Entry {
		const total = this._entries.reduce((sum, {share}) => sum + share, 0);
		let left = this._random() * total;
		return (
			this._entries.find(({share}) => {
				left -= share;
				return left <= 0;
			}) ?? this._entries[0]!
		);
	}

	private _startRequest(entry = this._randomEntry()): void {
		const rank = this._random() * this._cumulated.at(-1)!;
		const adapter = `a${this._cumulated.findIndex(sum => sum >= rank)}`;
		this._requested.set(adapter, (this._requested.get(adapter) ?? 0) + 1);
		const {streams, promptFactor = 1} = this._run;
		const promptTokens = Math.round(
			(300 - 700 * Math.log(1 - this._random())) * promptFactor,
		);
		const outputTokens =
			streams?.outputTokens(this._random) ??
			Math.round(68 + 160 * this._random());
		const hintTokens = streams?.hint?.(outputTokens, this._random);
		this._assign({
			arrivedAt: this._now,
			adapter,
			promptTokens,
			outputTokens,
			entry,
			fleet: entry.fleet,
			isRepeated: false,
			output:
				streams?.learns === true
					? entry.fleet.startOutput({
							route: 'r',
							customer: undefined,
							adapter: adapterKey('m', adapter),
							hintTokens,
							maxTokens: streams.maxTokens,
						})
					: undefined,
		});
	}

	private _assign(request: Request): void {
		const {entry, fleet, arrivedAt, adapter, promptTokens} = request;
		const waitLeftMs = arrivedAt + maxWaitMs - this._now;
		if (waitLeftMs <= 0) {
			this._finish(request, true);
			return;
		}

		const need: ServerNeed = {
			service: 's',
			model: 'm',
			adapter,
			session: undefined,
			tokens:
				this._run.streams?.maxTokens === undefined
					? 1
					: promptTokens + this._run.streams.maxTokens,
			promptTokens,
			maxPromptWaitMs: waitLeftMs,
			...(request.output && {output: request.output}),
			tried: new Set(),
		};
		const choice = fleet.choose(need, this._now);
		if (choice.kind !== 'send') {
			entry.waiting.push(request);
			return;
		}

		const key = adapterKey('m', adapter);
		const server = fleet.server(choice.server)!;
		const engine = this._engines.find(({id}) => id === choice.server)!;
		server.noteSent(key, this._now, request.output);
		server.notePrompt(promptTokens, this._now);
		this._in(hopMs, () => {
			const turn = engine.pacer.reserve(promptTokens, this._now);
			this._in(hopMs, () => {
				if (turn.delayMs > arrivedAt + maxWaitMs - this._now) {
					engine.pacer.release(promptTokens, this._now);
					server.notePromptDelay(turn.delayMs, this._now);
					server.noteEnded(key, request.output);
					this._assign(request);
					return;
				}

				this._in(turn.delayMs + hopMs, () => {
					this._runOn(engine, request);
				});
			});
		});
	}

	private _runOn(engine: Engine, request: Request): void {
		const {entry, fleet, adapter, promptTokens, outputTokens} = request;
		const key = adapterKey('m', adapter);
		const server = fleet.server(engine.id)!;
		if (!engine.held.has(adapter)) {
			server.noteRefusedAdapter(key);
			server.noteEnded(key, request.output);
			this._assign(request);
			return;
		}

		const pace = engine.isSlow ? slowFactor : 1;
		engine.running++;
		engine.inUse.set(adapter, (engine.inUse.get(adapter) ?? 0) + 1);
		engine.prefillsUntil =
			Math.max(this._now, engine.prefillsUntil) +
			(promptTokens / engine.tokensPerMs) * pace;
		const firstEventMs = engine.prefillsUntil - this._now + stepMs * pace;
		if (this._run.streams !== undefined) {
			const {stepGrowthMs = 0} = this._run.streams;
			const growthMs = stepGrowthMs * engine.running * pace;
			const firstEventAt = this._now + firstEventMs + growthMs;
			const delay = (firstEventAt - this._now) / (stepMs * pace + growthMs);
			engine.streams.push({
				request,
				firstEventAt,
				from: engine.decoded + delay - 1,
				generated: 0,
				isFirstSent: false,
			});
			return;
		}

		this._in(firstEventMs, () => {
			this._finish(request, false);
		});
		this._in(firstEventMs + outputTokens * stepMs, () => {
			engine.running--;
			engine.inUse.set(adapter, engine.inUse.get(adapter)! - 1);
			server.noteEnded(key);
			this._wake(entry);
		});
	}

	private _finish(
		{arrivedAt, adapter, isRepeated}: Request,
		isRefused: boolean,
	): void {
		if (arrivedAt >= this._warmUpMs && !isRepeated) {
			this._firstEventsOf.push([adapter, this._now - arrivedAt]);
			this._firstEvents.push(this._now - arrivedAt);
			this._refused += isRefused ? 1 : 0;
		}
	}

	private _wake(entry: Entry): void {
		if (entry.isWaking || entry.waiting.length === 0) {
			return;
		}

		entry.isWaking = true;
		this._in(wakeIntervalMs, () => {
			entry.isWaking = false;
			const {waiting} = entry;
			entry.waiting = [];
			for (const request of waiting) {
				this._assign(request);
			}
		});
	}

	private _sendDemands(entry: Entry): void {
		for (const server of entry.fleet.servers()) {
			if (
				server.outstanding > 0 ||
				server.hasUnreportedUse ||
				server.wants(this._now).length > 0
			) {
				this._sendDemand(entry, server.record.id);
			}
		}

		this._wake(entry);
	}

	private _sendDemand({id, fleet, waiting}: Entry, to: string): void {
		const server = fleet.server(to)!;
		const demand = {
			wants: server.wants(this._now).map(({isReplica, ...want}) => ({
				...want,
				...(this._ranksFirstLoads && isReplica && {isReplica}),
				waiting: waiting.filter(({adapter}) => adapter === want.adapter).length,
			})),
			used: server.takeUsedAdapters(),
			models: ['m'],
			adapterPlaces: this._run.adapterPlaces ?? usualAdapterPlaces,
			loads: fleet.pendingLoads(this._now),
			firstLoads: fleet.waitingFirstLoads(this._now),
			engines: this._engines.length,
		};
		this._in(hopMs, () => {
			const engine = this._engines.find(item => item.id === to)!;
			engine.planner.noteDemand(demand, id, this._now);
			if (demand.wants.length > 0) {
				this._order(engine);
			}
		});
	}

	/** Sends the orders that are due, each from a newer report than the one before. */
	private _order(engine: Engine): void {
		const order = engine.isOrdering
			? undefined
			: engine.planner.plan(this._reportOf(engine), this._now);
		if (order?.adapter === undefined) {
			return;
		}

		const {adapter, operation} = order;
		engine.isOrdering = true;
		this._in(2 * hopMs, () => {
			engine.isOrdering = false;
			const isRefused =
				operation === 'unload' && (engine.inUse.get(adapter) ?? 0) > 0;
			const outcome = isRefused ? 'refused' : 'accepted';
			engine.planner.noteOutcome(order, outcome, 1, this._now);
			if (isRefused) {
				return;
			}

			engine.sequence++;
			if (operation === 'unload') {
				engine.held.delete(adapter);
			} else {
				this._load(engine, adapter);
			}

			this._report(engine);
			this._order(engine);
		});
	}

	private _load(engine: Engine, adapter: string): void {
		const isCached = engine.cached.has(adapter);
		engine.pending.add(adapter);
		engine.cached.add(adapter);
		if (!isCached) {
			this._loads++;
			this._replicas += this._engines.some(({held}) => held.has(adapter))
				? 1
				: 0;
			this._loading++;
			const on = this._loadedOn.get(adapter) ?? new Set();
			this._loadedOn.set(adapter, on.add(engine.id));
		}

		const slowdown = Math.max(
			1,
			this._loading / (loadsAtFullSpeedPerEngine * this._run.engines),
		);
		this._in(isCached ? cachedLoadMs : loadMs * slowdown, () => {
			this._loading -= isCached ? 0 : 1;
			engine.pending.delete(adapter);
			engine.held.add(adapter);
			this._report(engine);
			this._order(engine);
		});
	}

	private _reportOf(engine: Engine): EngineReport {
		const report = this._engineReport(engine);
		return this._ranksFirstLoads
			? {...report, firstLoads: engine.planner.firstLoads(report, this._now)}
			: report;
	}

	private _engineReport(engine: Engine): EngineReport {
		return {
			born: 1,
			sequence: engine.sequence,
			isBusy: false,
			running: engine.running,
			waiting: 0,
			memoryUsed: memoryOf(engine),
			memoryTotal: this._run.streams?.memoryTokens ?? 1_000_000,
			models: [
				{
					name: 'm',
					adapters: Object.fromEntries([...engine.held].map(name => [name, 1])),
				},
			],
			pending: [...engine.pending].map(adapter => ({
				model: 'm',
				adapter,
				version: 1,
			})),
			promptDebt: engine.pacer.debt(this._now),
			prefillTokensPerMs: engine.tokensPerMs,
			...(this._run.reportsPace && {slowdown: engine.isSlow ? slowFactor : 1}),
		};
	}

	private _report(engine: Engine): void {
		const report = this._reportOf(engine);
		for (const entry of this._entries) {
			this._in(this._run.streams?.reportDelayMs ?? hopMs, () => {
				entry.fleet.noteReport(engine.id, report, this._now);
				entry.loadTimes.noteReport(engine.id, report, this._now, {
					isCached: key => entry.fleet.server(engine.id)!.heldRecently(key),
					engines: this._engines.length,
				});
				this._wake(entry);
			});
		}
	}
}

/** Tokens in an engine's memory: the prompts and what was generated. */
function memoryOf({streams}: Engine): number {
	return streams.reduce(
		(sum, {request, generated}) => sum + request.promptTokens + generated,
		0,
	);
}

function quantileOf(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}
