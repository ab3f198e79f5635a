import {createRandom, type Random} from '../common/random.js';
import type {WaitCause, WaitingRequest} from './waiting-request.js';
import {WaitingRequests} from './waiting-requests.js';

/** Kind of requests, with the share of a customer's requests that are of it. */
export type WaitKind = {
	readonly name: string;
	readonly share: number;
	readonly priority: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Time for which a request takes a place. */
	readonly workMs: number;
};

export type WaitLoad = {
	readonly kinds: readonly WaitKind[];
	/** Requests per second of each customer at the usual load. */
	readonly customers: ReadonlyMap<string, number>;
	readonly factor: (customer: string, kind: string, at: number) => number;
	/** Number of servers, and places of each. */
	readonly servers: number;
	readonly places: number;
	/** Number of adapters, each needed by as many requests; 0 if none is needed. */
	readonly adapters: number;
	/** Number of adapters that a server holds, and the time that a load takes. */
	readonly adapterPlaces: number;
	readonly loadMs: number;
	/** Concurrent loads over all servers. */
	readonly maxLoads: number;
	/** Share of the servers that are there. */
	readonly capacity: (at: number) => number;
	readonly durationMs: number;
};

export type WaitOutcome = {
	readonly callers: number;
	readonly late: number;
	readonly refused: number;
	/** Largest share of late and refused callers of one customer. */
	readonly worstCustomer: number;
	/** Share of late and refused callers of each customer, and of each kind. */
	readonly missed: ReadonlyMap<string, number>;
	/** Number of times that a server was looked for. */
	readonly tries: number;
	/** Time in which places were free that a waiting request could have used, summed over the servers, in milliseconds. */
	readonly idlePlaceMs: number;
};

type Request = WaitingRequest & {
	readonly kind: WaitKind;
	readonly neededAdapter: string | undefined;
};

type Server = {
	free: number;
	readonly adapters: Set<string>;
	readonly pending: Set<string>;
	readonly inUse: Map<string, number>;
};

/** Time after the last arrival in which waiting requests end. */
const maxWaitMs = 5000;

/** Plays a load at one entry, in steps of a millisecond, with the module or with the rule before: one list, of which each event retries all. */
export function playWaits(
	load: WaitLoad,
	policy: 'groups' | 'list',
	seed: number,
): WaitOutcome {
	return new WaitPlay(load, policy, seed).run();
}

class WaitPlay {
	private readonly _random: Random;
	private readonly _servers: readonly Server[];
	private readonly _groups = WaitingRequests.create<Request>();
	private readonly _waiting = new Set<Request>();
	private readonly _arrivals: Request[];
	private readonly _due = new Map<number, Array<() => void>>();
	private readonly _ended = new Map<Request, 'inTime' | 'late' | 'refused'>();
	private readonly _wanted: string[] = [];
	private _loads = 0;
	private _at = 0;
	private _tries = 0;
	private _idlePlaceMs = 0;

	constructor(
		private readonly _load: WaitLoad,
		private readonly _policy: 'groups' | 'list',
		seed: number,
	) {
		this._random = createRandom(seed);
		this._servers = Array.from({length: _load.servers}, () => ({
			free: _load.places,
			adapters: new Set<string>(),
			pending: new Set<string>(),
			inUse: new Map<string, number>(),
		}));
		this._arrivals = this._createArrivals();
	}

	run(): WaitOutcome {
		const {durationMs} = this._load;
		let next = 0;
		for (this._at = 0; this._at < durationMs + maxWaitMs; this._at++) {
			for (const step of this._due.get(this._at) ?? []) {
				step();
			}

			this._due.delete(this._at);
			this._noteCapacity();
			while (
				next < this._arrivals.length &&
				this._arrivals[next]!.arrivedAt <= this._at
			) {
				this._arrive(this._arrivals[next]!);
				next++;
			}

			const dueAt = this._groups.nextDueAt();
			if (dueAt !== undefined && dueAt <= this._at) {
				this._groups.wake({kind: 'due'}, this._retry, this._at);
			}

			this._refuseLate();
			this._noteIdlePlaces();
		}

		return this._outcome();
	}

	/** Servers that come back are an event for all requests. */
	private _noteCapacity(): void {
		const {capacity} = this._load;
		if (this._at > 0 && capacity(this._at) > capacity(this._at - 1)) {
			if (this._policy === 'list') {
				this._offer(this._servers[0]!);
			} else {
				this._groups.wake({kind: 'all'}, this._retry, this._at);
			}
		}
	}

	private _arrive(request: Request): void {
		if (this._policy === 'list') {
			this._place(request);
			return;
		}

		const cause = this._groups.causeAhead(request);
		if (cause === undefined) {
			this._place(request);
		} else {
			const waiting = {...request, cause};
			this._waiting.add(waiting);
			this._groups.add(waiting, this._at);
			this._groups.wake(
				{kind: 'arrivals', requests: [waiting]},
				this._retry,
				this._at,
			);
		}
	}

	private readonly _retry = (request: Request): Request | undefined => {
		this._waiting.delete(request);
		return this._place(request);
	};

	/** Looks for a place. The request waits if there is none. */
	private _place(request: Request): Request | undefined {
		this._tries++;
		const {neededAdapter, kind} = request;
		const up = this._upServers();
		const holders =
			neededAdapter === undefined
				? up
				: up.filter(({adapters}) => adapters.has(neededAdapter));
		const server = holders
			.toSorted((a, b) => b.free - a.free)
			.find(({free}) => free > 0);
		if (server === undefined) {
			const cause: WaitCause = holders.length === 0 ? 'awaitAdapter' : 'full';
			if (holders.length === 0) {
				this._want(neededAdapter!);
			}

			const waiting = {...request, cause};
			this._waiting.add(waiting);
			if (this._policy === 'groups') {
				this._groups.add(waiting, this._at);
			}

			return waiting;
		}

		this._groups.noteSent(request.customer, 0);
		server.free--;
		this._use(server, neededAdapter, 1);
		const isLate = this._at + kind.workMs > request.arrivedAt + kind.targetMs;
		this._ended.set(request, isLate ? 'late' : 'inTime');
		this._in(kind.workMs, () => {
			server.free++;
			this._use(server, neededAdapter, -1);
			this._offer(server);
		});
		return undefined;
	}

	private _use(
		{inUse}: Server,
		adapter: string | undefined,
		change: number,
	): void {
		if (adapter !== undefined) {
			inUse.set(adapter, (inUse.get(adapter) ?? 0) + change);
		}
	}

	private _want(adapter: string): void {
		const isAsked =
			this._wanted.includes(adapter) ||
			this._servers.some(({pending}) => pending.has(adapter));
		if (!isAsked) {
			this._wanted.push(adapter);
			this._startLoads();
		}
	}

	private _startLoads(): void {
		const {maxLoads, loadMs, adapterPlaces} = this._load;
		while (this._loads < maxLoads && this._wanted.length > 0) {
			const server = this._upServers().toSorted(
				(a, b) => a.pending.size - b.pending.size,
			)[0];
			const victim =
				server &&
				[...server.adapters].find(name => (server.inUse.get(name) ?? 0) === 0);
			if (
				server === undefined ||
				(server.adapters.size + server.pending.size >= adapterPlaces &&
					victim === undefined)
			) {
				return;
			}

			if (server.adapters.size + server.pending.size >= adapterPlaces) {
				server.adapters.delete(victim!);
			}

			const adapter = this._wanted.shift()!;
			this._loads++;
			server.pending.add(adapter);
			this._in(loadMs, () => {
				this._loads--;
				server.pending.delete(adapter);
				server.adapters.add(adapter);
				this._startLoads();
				this._offer(server);
			});
		}
	}

	private _offer({adapters, free}: Server): void {
		if (this._policy === 'list') {
			const ordered = [...this._waiting].toSorted(
				(a, b) => a.priority - b.priority || a.arrivedAt - b.arrivedAt,
			);
			this._waiting.clear();
			for (const request of ordered) {
				this._place(request);
			}

			return;
		}

		this._groups.wake(
			{
				kind: 'offer',
				offer: {service: 's', adapters: [...adapters], room: free},
			},
			this._retry,
			this._at,
		);
	}

	private _refuseLate(): void {
		for (const request of this._waiting) {
			if (this._at > request.deadlineAt) {
				this._waiting.delete(request);
				this._groups.remove(request);
				this._ended.set(request, 'refused');
			}
		}
	}

	private _noteIdlePlaces(): void {
		for (const server of this._upServers()) {
			const isUseful =
				server.free > 0 &&
				[...this._waiting].some(
					({neededAdapter}) =>
						neededAdapter === undefined || server.adapters.has(neededAdapter),
				);
			this._idlePlaceMs += isUseful ? 1 : 0;
		}
	}

	private _upServers(): readonly Server[] {
		const {servers, capacity} = this._load;
		return this._servers.slice(0, Math.ceil(servers * capacity(this._at)));
	}

	private _in(delayMs: number, step: () => void): void {
		const at = this._at + Math.max(1, Math.round(delayMs));
		const due = this._due.get(at) ?? [];
		due.push(step);
		this._due.set(at, due);
	}

	private _createArrivals(): Request[] {
		const {kinds, customers, factor, durationMs, adapters} = this._load;
		const arrivals: Request[] = [];
		for (const [customer, perSecond] of customers) {
			for (const kind of kinds) {
				let at = 0;
				while (at < durationMs) {
					const rate = perSecond * kind.share * factor(customer, kind.name, at);
					at -= (Math.log(1 - this._random()) * 1000) / rate;
					const adapter =
						adapters === 0
							? undefined
							: `m/a${Math.floor(adapters * this._random() ** 3)}`;
					arrivals.push({
						service: 's',
						model: adapter === undefined ? undefined : 'm',
						adapter,
						neededAdapter: adapter,
						restriction: '',
						priority: kind.priority,
						customer,
						weight: perSecond,
						tokens: kind.workMs,
						arrivedAt: at,
						targetAt: at + kind.targetMs - kind.workMs,
						deadlineAt: at + kind.deadlineMs - kind.workMs,
						cause: 'full',
						kind,
					});
				}
			}
		}

		return arrivals
			.filter(({arrivedAt}) => arrivedAt < durationMs)
			.toSorted((a, b) => a.arrivedAt - b.arrivedAt);
	}

	private _outcome(): WaitOutcome {
		const counts = new Map<string, {missed: number; all: number}>();
		let late = 0;
		let refused = 0;
		for (const [{customer, kind}, end] of this._ended) {
			late += end === 'late' ? 1 : 0;
			refused += end === 'refused' ? 1 : 0;
			for (const key of [customer, kind.name]) {
				const count = counts.get(key) ?? {missed: 0, all: 0};
				count.all++;
				count.missed += end === 'inTime' ? 0 : 1;
				counts.set(key, count);
			}
		}

		const missed = new Map(
			[...counts].map(([key, count]) => [key, count.missed / count.all]),
		);
		return {
			callers: this._ended.size,
			late,
			refused,
			worstCustomer: Math.max(
				...[...this._load.customers.keys()].map(name => missed.get(name) ?? 0),
			),
			missed,
			tries: this._tries,
			idlePlaceMs: this._idlePlaceMs,
		};
	}
}
