import assert from 'node:assert/strict';
import {
	AuthorityView,
	createRandom,
	FleetView,
	FreshnessLease,
	VersionBounds,
	type AuthorityRow,
	type EngineReport,
} from '@balsamtray/core';
import {SentCalls} from './sent-calls.js';

export const seeds = 1000;
export const versionMs = 5000;
const revokeMs = 5000;
export const tickMs = 20;
export const durationMs = 25_000;
/** Longest time between two reads of the statements while neither the store nor links are in trouble. */
export const maxReadGapMs = 3400;
export const servers = ['s1', 's2', 's3'];

export type Declaration = {readonly version: number; readonly at: number};

/** The decisions of an entry on adapter versions, in virtual time. */
export class VirtualEntry {
	static create(): VirtualEntry {
		return new VirtualEntry();
	}

	readonly authority = AuthorityView.create();
	readonly bounds = VersionBounds.create({
		authority: this.authority,
		versionMs: () => versionMs,
	});

	readonly lease = FreshnessLease.create(() => revokeMs);
	readonly calls = SentCalls.create();
	/** Times at which requests are checked for outdated versions. */
	readonly recallTimes: number[] = [];
	readonly fleet = FleetView.create({
		zone: 'z',
		isZoneOut: () => false,
		newestVersion: (model, adapter) =>
			this.authority.newestVersion(model, adapter),
		minVersion: (model, adapter, now) =>
			this.bounds.oldest('sending', model, adapter, now),
		serviceOf: () => undefined,
		coldBound: () => 1000,
		entryCount: () => 1,
		onNewWant: () => undefined,
	});

	private constructor() {
		this.fleet.apply(
			servers.map((id, i) => ({
				id,
				rowVersion: i + 1,
				record: {
					id,
					service: 's',
					address: id,
					zone: 'z',
					slots: 1000,
					isDraining: false,
					coldLeftMs: 0,
					models: [],
				},
			})),
			0,
		);
	}

	/** Applies the statements as of `readAt`, a time at which a read by this entry or by a peer began. */
	learn(declared: readonly Declaration[], readAt: number, now: number): void {
		const rows = declared
			.filter(({at}) => at <= readAt)
			.slice(-1)
			.map(({version}): AuthorityRow => ({
				key: 'v',
				rowVersion: version,
				statement: {type: 'adapterVersion', model: 'm', adapter: 'a', version},
			}));
		const change = this.authority.apply(rows, this.lease.provenAt);
		this.lease.prove(readAt, 0, 0);
		for (const {since} of change.declared) {
			this.recallTimes.push(
				now + Math.max(0, this.bounds.untilEndMs('waiting', since, now)),
			);
		}
	}

	recallIfDue(now: number): void {
		if (this.recallTimes.some(at => at <= now)) {
			this.recallTimes.splice(
				0,
				this.recallTimes.length,
				...this.recallTimes.filter(at => at > now),
			);
			this.calls.recallOutdated((model, adapter) =>
				this.bounds.oldest('waiting', model, adapter, now),
			);
		}
	}
}

export function reportOf(version: number | undefined): EngineReport {
	return {
		born: 1,
		sequence: 0,
		isBusy: false,
		running: 0,
		waiting: 0,
		memoryUsed: 0,
		memoryTotal: 1000,
		models: [{name: 'm', adapters: version === undefined ? {} : {a: version}}],
		pending: [],
	};
}

export const need = {
	service: 's',
	model: 'm',
	adapter: 'a',
	session: undefined,
	tokens: 1,
	promptTokens: 1,
	maxPromptWaitMs: 100_000,
	tried: new Set<string>(),
};

/** What a server did last: it holds a version, or none. */
type Holding = {readonly at: number; readonly version: number | undefined};

type ServerCall = {
	readonly server: VirtualServer;
	readonly queueMs: number;
	/** Time at which its caller gives up. The server is told what is left then. */
	readonly deadlineAt: number;
	expected: number | undefined;
	/** Time at which a connection is free; undefined before its headers are written. */
	connectedAt: number | undefined;
	beginsAt: number | undefined;
	isEnded: boolean;
	isRecalled: boolean;
};

type VirtualOrder = {readonly dueAt: number; readonly version: number};

/** A server that carries out orders late, restarts, and reports what it held some time before. */
class VirtualServer {
	static create(id: string): VirtualServer {
		return new VirtualServer(id);
	}

	held: number | undefined = 1;
	downUntil = 0;
	/** Time until which its agent sends no reports. */
	silentUntil = 0;
	calls: ServerCall[] = [];
	private _orders: VirtualOrder[] = [];
	private _load: VirtualOrder | undefined;
	private readonly _history: Holding[] = [{at: 0, version: 1}];

	private constructor(readonly id: string) {}

	get isLoading(): boolean {
		return this._load !== undefined;
	}

	order(order: VirtualOrder): void {
		this._orders.push(order);
	}

	restart(now: number, downMs: number): void {
		this._end();
		this._load = undefined;
		this.downUntil = now + downMs;
		this._hold(undefined, now);
	}

	/** Carries out the orders that are due, with what they named or what was newest when they were sent. */
	step(now: number, loadMs: number): void {
		if (now < this.downUntil) {
			return;
		}

		if (this._load !== undefined && now >= this._load.dueAt) {
			this._hold(this._load.version, now);
			this._load = undefined;
		}

		const due = this._orders.find(({dueAt}) => now >= dueAt);
		if (due !== undefined && this._load === undefined) {
			this._orders = this._orders.filter(order => order !== due);
			this._load = {version: due.version, dueAt: now + loadMs};
			// Requests that have not begun are refused until the order is complete.
			this._end();
		}
	}

	/** Version that the server held at a time; undefined if none. */
	heldAt(at: number): number | undefined {
		return this._history.findLast(holding => holding.at <= at)?.version;
	}

	/** Takes a request. Returns whether it is in the queue. */
	accept(call: ServerCall, now: number): boolean {
		const isHeld =
			this.held !== undefined && (call.expected ?? this.held) === this.held;
		if (now < this.downUntil || this.isLoading || !isHeld) {
			return false;
		}

		this.calls.push(call);
		return true;
	}

	private _hold(version: number | undefined, now: number): void {
		this.held = version;
		this._history.push({at: now, version});
	}

	private _end(): void {
		for (const call of this.calls) {
			call.isEnded = true;
		}

		this.calls = [];
	}
}

/** An entry of a schedule with servers that carry out orders late, with its requests. */
type EntryInSchedule = {
	entry: VirtualEntry;
	calls: ServerCall[];
	nextReadAt: number;
};

/** Sends a request once it has a connection, with new headers if those that it has are outdated by then. */
function sendIfDue(
	call: ServerCall,
	entry: VirtualEntry,
	now: number,
	connectMs: number,
): void {
	const {id} = call.server;
	if (call.connectedAt === undefined) {
		const toExpect = entry.fleet.versionToExpect(id, need, now);
		call.isEnded = toExpect.kind === 'outdated' || !entry.lease.isFresh(now);
		call.expected = toExpect.kind === 'exactly' ? toExpect.version : undefined;
		call.connectedAt = now + connectMs;
		return;
	}

	if (call.beginsAt !== undefined || now < call.connectedAt) {
		return;
	}

	if (!entry.fleet.acceptsHeaders(id, need, call.expected, now)) {
		call.connectedAt = undefined;
		return;
	}

	call.beginsAt = now + call.queueMs;
	call.isEnded = !call.server.accept(call, now);
	const sent = entry.calls.add({
		model: 'm',
		adapter: 'a',
		version: () =>
			call.expected ?? entry.fleet.server(id)?.adapterVersion('m', 'a', now),
		recall() {
			sent.dispose();
			call.isRecalled = true;
		},
	});
}

/** Times between two versions, in milliseconds: the same adapter is named again at once, or much later. */
const versionGapsMs = [300, 1900, 2500, 5000, 13_000] as const;

/** Schedule of two entries, which may all be killed at once, and servers that carry out orders up to 12 s late. */
class LateOrderSchedule {
	/** @param maxSilenceMs longest time for which an agent sends no reports, in milliseconds */
	static create(seed: number, maxSilenceMs: number): LateOrderSchedule {
		return new LateOrderSchedule(createRandom(seed), maxSilenceMs);
	}

	/** Requests that began on too old a version. */
	readonly outdated: string[] = [];
	/** Number of requests that began. */
	begun = 0;
	private readonly _gapMs: number;
	private readonly _maxConnectMs: number;
	private readonly _maxQueueMs: number;
	private readonly _lateShare: number;
	private readonly _maxReadGapMs: number;
	/** Version 1 was never declared, so requests expect none before the first declaration. */
	private readonly _declared: Declaration[] = [];
	private readonly _hosts = servers.map(id => VirtualServer.create(id));
	private _entries = [startEntry(0), startEntry(0)];
	private _declareAt: number;
	private _killAt: number;

	private constructor(
		private readonly _random: () => number,
		private readonly _maxSilenceMs: number,
	) {
		this._gapMs = versionGapsMs[Math.floor(_random() * versionGapsMs.length)]!;
		this._maxConnectMs = this._between(0, 6000);
		this._maxQueueMs = this._between(0, 8000);
		this._lateShare = this._between(0, 0.6);
		this._maxReadGapMs = this._between(200, maxReadGapMs);
		this._declareAt = this._between(500, 4000);
		this._killAt =
			_random() < 0.5 ? this._between(2000, 20_000) : Number.POSITIVE_INFINITY;
	}

	play(): this {
		for (let now = 0; now < durationMs; now += tickMs) {
			this._declareIfDue(now);
			this._killIfDue(now);
			for (const host of this._hosts) {
				this._stepHost(host, now);
			}

			for (const state of this._entries) {
				this._readAndReport(state, now);
				state.entry.recallIfDue(now);
				this._sendCalls(state, now);
			}

			for (const host of this._hosts) {
				this._beginCalls(host, now);
			}
		}

		return this;
	}

	private _between(min: number, max: number): number {
		return min + this._random() * (max - min);
	}

	private get _newest(): number {
		return this._declared.at(-1)?.version ?? 1;
	}

	private _declareIfDue(now: number): void {
		if (now >= this._declareAt) {
			this._declared.push({version: this._newest + 1, at: now});
			this._declareAt = now + this._gapMs * this._between(0.9, 1.1);
		}
	}

	private _killIfDue(now: number): void {
		if (now < this._killAt) {
			return;
		}

		for (const call of this._entries.flatMap(({calls}) => calls)) {
			call.isRecalled = true;
		}

		this._entries = this._entries.map(() =>
			startEntry(now + this._between(300, 1500)),
		);
		this._killAt = now + this._between(4000, 12_000);
	}

	private _stepHost(host: VirtualServer, now: number): void {
		if (this._random() < 0.01) {
			const isLate = this._random() < this._lateShare;
			const dueMs = isLate
				? this._between(2000, 12_000)
				: this._between(20, 300);
			// An entry that has not heard of the newest version may name the one before.
			const version = Math.max(
				1,
				this._newest - (this._random() < 0.3 ? 1 : 0),
			);
			host.order({dueAt: now + dueMs, version});
		}

		if (this._random() < 0.002) {
			host.restart(now, this._between(200, 3000));
		}

		if (this._maxSilenceMs > 0 && this._random() < 0.004) {
			host.silentUntil = now + this._between(0, this._maxSilenceMs);
		}

		host.step(now, this._between(60, 800));
	}

	private _readAndReport(state: EntryInSchedule, now: number): void {
		const {entry} = state;
		if (now >= state.nextReadAt) {
			const readAt = Math.max(0, now - this._between(0, 1200));
			entry.learn(this._declared, readAt, now);
			state.nextReadAt = now + this._between(50, this._maxReadGapMs);
		}

		for (const host of this._hosts) {
			const isReporting = now >= Math.max(host.downUntil, host.silentUntil);
			if (isReporting && this._random() < 0.2) {
				const version = host.heldAt(now - this._between(0, 500));
				entry.fleet.noteReport(host.id, reportOf(version), now);
			}
		}
	}

	private _sendCalls(state: EntryInSchedule, now: number): void {
		const {entry} = state;
		if (this._random() < 0.2 && entry.lease.isFresh(now)) {
			const choice = entry.fleet.choose(need, now);
			if (choice.kind === 'send') {
				state.calls.push({
					server: this._hosts.find(({id}) => id === choice.server)!,
					queueMs: this._between(0, this._maxQueueMs),
					deadlineAt: now + this._between(1000, 15_000),
					expected: undefined,
					connectedAt: undefined,
					beginsAt: undefined,
					isEnded: false,
					isRecalled: false,
				});
			}
		}

		for (const call of state.calls) {
			call.isEnded ||= now >= call.deadlineAt;
			if (!call.isEnded) {
				sendIfDue(call, entry, now, this._between(0, this._maxConnectMs));
			}
		}

		state.calls = state.calls.filter(
			({isEnded, isRecalled}) => !isEnded && !isRecalled,
		);
	}

	private _beginCalls(host: VirtualServer, now: number): void {
		for (const call of host.calls) {
			// The server drops a request whose connection is closed.
			call.isEnded ||= now >= call.deadlineAt || call.isRecalled;
			if (!call.isEnded && now >= call.beginsAt!) {
				call.isEnded = true;
				this._noteBegin(host.held ?? 0, now);
			}
		}

		host.calls = host.calls.filter(({isEnded}) => !isEnded);
	}

	private _noteBegin(version: number, now: number): void {
		this.begun++;
		const newer = this._declared.find(
			other => other.version > version && now - other.at > versionMs,
		);
		if (newer !== undefined) {
			this.outdated.push(
				`version ${version} at ${now}, ${now - newer.at} ms after ${newer.version}`,
			);
		}
	}
}

function startEntry(now: number): EntryInSchedule {
	return {entry: VirtualEntry.create(), calls: [], nextReadAt: now};
}

/**
 * Asserts that no request begins on too old a version at servers that carry out orders late.
 *
 * @param maxSilenceMs longest time for which an agent sends no reports, in milliseconds
 */
export function assertNoneOutdated(maxSilenceMs: number): void {
	let begun = 0;
	for (let seed = 1; seed <= seeds; seed++) {
		const result = LateOrderSchedule.create(seed, maxSilenceMs).play();
		assert.deepEqual(result.outdated, [], `seed ${seed}`);
		begun += result.begun;
	}

	assert.ok(begun > 10 * seeds, `only ${begun} requests began`);
}
