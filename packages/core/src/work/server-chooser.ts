import {adapterKey} from '../authority/authority-view.js';
import type {ServiceSpec} from '../authority/types.js';
import type {Random} from '../common/random.js';
import {
	AdapterPlacement,
	type AdapterNeed,
	type AdapterPlacementOptions,
} from '../placement/adapter-placement.js';
import type {AdapterLoadTimes} from '../placement/adapter-load-times.js';
import {crossZoneCostMs, maxTrackedSessions} from '../placement/constants.js';
import type {ServerState} from '../placement/server-state.js';
import type {
	ReportedLoad,
	ServerChoice,
	ServerNeed,
} from '../placement/types.js';
import {AdapterDemand} from './adapter-demand.js';
import {chooseEngine} from './choose-engine.js';
import {
	initialLoadMs,
	initialLoadsPerServer,
	initialWorkMs,
	maxQueuedAnswerShare,
} from './constants.js';
import {
	choosePlain,
	maxPlainOutstanding,
	queuedAnswerMs,
	type PlainCandidate,
} from './plain-choice.js';
import {OutputLengths, type OutputSubject} from './output-lengths.js';
import {OutputProgress} from './output-progress.js';
import {WorkTimes} from './work-times.js';

/** Dependencies and settings of a `ServerChooser`. */
export type ServerChooserOptions = Pick<
	AdapterPlacementOptions,
	| 'newestVersion'
	| 'minVersion'
	| 'onNewWant'
	| 'pendingLoads'
	| 'waitingFirstLoads'
> & {
	/** Times of loads that were seen. Without it, those of the constants count. */
	readonly loadTimes?: Pick<AdapterLoadTimes, 'fullSpeedMs' | 'loadLimit'>;
	/** Zone of this entry. */
	readonly zone: string;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	/** Maximum requests per second that a cold server of the service may get from all entries together. */
	readonly coldBound: (service: ServiceSpec) => number;
	/** Number of entries that may send to the same servers, including this one. */
	readonly entryCount: () => number;
	/** Number of entries that come before this one in an order for the server, on which all agree. Without it, none does. */
	readonly entryRank?: (server: string) => number;
	/** Spreads the choices of the entries among engines. Without it, figures count as if they were new. */
	readonly random?: Random;
	/**
	 * Whether requests at an engine count by how long they are expected to run. Not in use: in the simulated fleet it was no
	 * better than to count them alike.
	 */
	readonly usesLearnedWork?: boolean;
};

/** Chooses the server that runs a request among those that take requests, and keeps what the choice learns. */
export class ServerChooser {
	static create(options: ServerChooserOptions): ServerChooser {
		return new ServerChooser(options);
	}

	/** Server that caches each session's prompt, least recently used session first. */
	private readonly _sessions = new Map<string, string>();
	private readonly _lengths = OutputLengths.create();
	private readonly _demand = AdapterDemand.create();
	private readonly _placement: AdapterPlacement;
	/** Work times of the plain services whose servers tell their load, by service. */
	private readonly _workTimes = new Map<string, WorkTimes>();

	private constructor(private readonly _options: ServerChooserOptions) {
		const {newestVersion, minVersion, onNewWant} = _options;
		const {pendingLoads, waitingFirstLoads, loadTimes} = _options;
		this._placement = AdapterPlacement.create({
			newestVersion,
			minVersion,
			onNewWant,
			loadFigures: servers => ({
				loadMs: loadTimes?.fullSpeedMs ?? initialLoadMs,
				loadsPerServer:
					(loadTimes?.loadLimit(servers) ?? servers * initialLoadsPerServer) /
					servers,
			}),
			pendingLoads,
			waitingFirstLoads,
			demand: (key, now) =>
				this._demand.tokensPerMs(key, now) * _options.entryCount(),
		});
	}

	/** Returns what is expected of the output of a request, for its choices, its send and its end. */
	startOutput(request: OutputSubject): OutputProgress {
		return OutputProgress.create(this._lengths, request);
	}

	/** Chooses one of the servers, or returns what the request has to wait for. */
	choose(
		usable: readonly ServerState[],
		need: ServerNeed,
		now: number,
	): ServerChoice {
		if (need.model === undefined) {
			return this._choosePlain(usable, need, now);
		}

		const {model, adapter} = need;
		if (adapter === undefined) {
			const holders = usable.filter(server => server.hasModel(model, now));
			return this._chooseAmong(holders, need, now);
		}

		const adapterNeed = {...need, model, adapter};
		return this._chooseForAdapter(usable, adapterNeed, now);
	}

	/** Records the server that has the session's prompt in its cache. Forgets the least recently used sessions. */
	noteSession(session: string, server: string): void {
		this._sessions.delete(session);
		this._sessions.set(session, server);
		for (const oldest of this._sessions.keys()) {
			if (this._sessions.size <= maxTrackedSessions) {
				return;
			}

			this._sessions.delete(oldest);
		}
	}

	/** Records how long a request of a plain service took, in milliseconds, and the load that its response tells. */
	noteWork(service: string, elapsedMs: number, load: ReportedLoad): void {
		const times = this._workTimes.get(service) ?? WorkTimes.create();
		this._workTimes.set(service, times);
		times.note(elapsedMs, load);
	}

	/** Usual time of the work of a plain service, in milliseconds; undefined until it is known. */
	workMs(service: string): number | undefined {
		return this._workTimes.get(service)?.workMs;
	}

	/** Maximum requests of this entry per second to a server: its share of the limit of a cold one, or infinity. */
	coldLimit(server: ServerState, now: number): number {
		const spec = this._options.serviceOf(server.record.service);
		if (
			spec === undefined ||
			spec.coldRequestsPerSecond <= 0 ||
			!server.isCold(now)
		) {
			return Number.POSITIVE_INFINITY;
		}

		const {coldBound, entryCount, entryRank = () => 0} = this._options;
		const bound = Math.max(1, Math.floor(coldBound(spec)));
		// Where the entries outnumber the requests, each server has some entries that may send it one.
		const rank = bound < entryCount() ? entryRank(server.record.id) : 0;
		return rank < bound ? Math.max(1, Math.floor(bound / entryCount())) : 0;
	}

	private _choosePlain(
		usable: readonly ServerState[],
		need: ServerNeed,
		now: number,
	): ServerChoice {
		const {random = () => 0, entryCount} = this._options;
		const workMs = this._workTimes.get(need.service)?.workMs;
		const limitMs =
			maxQueuedAnswerShare * (need.remainingMs ?? Number.POSITIVE_INFINITY);
		const candidates = usable
			.filter(server => this._isWithinColdLimit(server, now))
			.map(server => this._plainCandidate(server, now));
		if (workMs !== undefined && candidates.length === usable.length) {
			const excessMs = queuedAnswerMs(candidates, workMs, now) - limitMs;
			if (excessMs > 0) {
				// Callers that are refused together come back spread over the time of one request's work.
				return {kind: 'tooLate', delayMs: excessMs + workMs * random()};
			}
		}

		const limits = {workMs, limitMs, entryCount: entryCount()};
		const best = choosePlain(
			candidates.filter(
				candidate =>
					candidate.outstanding < maxPlainOutstanding(candidate, limits),
			),
			{workMs: workMs ?? initialWorkMs, zoneCostMs: crossZoneCostMs, random},
			now,
		);
		return best === undefined
			? {kind: 'full'}
			: {kind: 'send', server: best.id};
	}

	private _plainCandidate(server: ServerState, now: number): PlainCandidate {
		return {
			id: server.record.id,
			slots: server.record.slots,
			outstanding: server.outstanding,
			load: server.load,
			zoneDistance: this._zoneDistance(server),
			sentWithinSecond: server.sentWithinSecond(now),
		};
	}

	private _chooseForAdapter(
		usable: readonly ServerState[],
		need: AdapterNeed,
		now: number,
	): ServerChoice {
		const holders = this._placement.place(usable, need, now);
		if (holders.length === 0) {
			return {kind: 'awaitAdapter'};
		}

		const choice = this._chooseAmong(holders, need, now);
		const isNew = need.tried.size === 0 && need.waitsAt === undefined;
		if (choice.kind === 'send' && isNew) {
			const {model, adapter, promptTokens} = need;
			this._demand.note(adapterKey(model, adapter), promptTokens, now);
		}

		return choice;
	}

	private _chooseAmong(
		holders: readonly ServerState[],
		need: ServerNeed,
		now: number,
	): ServerChoice {
		const {session} = need;
		return chooseEngine(
			holders,
			need,
			{
				isWithinColdLimit: server => this._isWithinColdLimit(server, now),
				zoneDistance: server => this._zoneDistance(server),
				sessionServer:
					session === undefined ? undefined : this._sessions.get(session),
				entryCount: this._options.entryCount(),
				random: this._options.random ?? (() => 0),
				usesLearnedWork: this._options.usesLearnedWork ?? false,
			},
			now,
		);
	}

	private _isWithinColdLimit(server: ServerState, now: number): boolean {
		return server.sentWithinSecond(now) < this.coldLimit(server, now);
	}

	private _zoneDistance({record}: ServerState): number {
		return record.zone === this._options.zone ? 0 : 1;
	}
}
