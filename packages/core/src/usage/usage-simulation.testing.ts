import {createRandom, type Random} from '../common/random.js';
import {fencingTokenOf} from '../duties/fencing.js';
import type {DutyOutcome, KeyedRow, RowWrite} from '../duties/types.js';
import {topByRendezvous} from '../common/rendezvous.js';
import type {Clocks, Contribution, UsageCounts} from './types.js';
import {UsageCore} from './usage-core.js';
import type {DueReport, StoreStep, WindowEnd} from './usage-reports.js';

/** A fault of a schedule. Times are in milliseconds since its start. */
export type Fault = {
	readonly at: number;
	readonly forMs: number;
	readonly host: number;
	readonly kind:
		| 'kill'
		| 'suspend'
		/** The host reaches neither other hosts nor the store. */
		| 'cut'
		/** The lease goes to another entry. */
		| 'handOver'
		/** The holder's right ends for a time, and nobody else takes the lease. */
		| 'lapse'
		/** The store applies calls, and its answers are lost. */
		| 'loseStoreAnswers'
		| 'storeDown'
		/** The store goes back by `forMs`. */
		| 'rewind'
		/** The platform accepts calls, and its answers are lost. */
		| 'losePlatformAnswers'
		| 'platformDown'
		/** The host's clock goes back by `forMs`. */
		| 'clockBack';
};

export type Schedule = {
	readonly seed: number;
	readonly hosts: number;
	readonly durationMs: number;
	readonly faults: readonly Fault[];
	/** Share of the datagrams that is lost. */
	readonly loss: number;
	/** Share of the datagrams that comes seconds late, and again. */
	readonly straying: number;
	/** Longest time until an entry sees that a request has begun. */
	readonly maxLagMs: number;
};

/** A request that began to run. */
export type TrueRequest = {
	/** Process of the entry that it runs at. */
	readonly process: unknown;
	readonly customer: string;
	/** True time of the begin. */
	readonly at: number;
	/** True time at which its entry saw it; undefined if the entry was killed before. */
	seenAt: number | undefined;
	/** True time at which its entry's process was killed; undefined if it was not. */
	killedAt: number | undefined;
};

export type AcceptedReport = {
	readonly window: number;
	readonly text: string;
	readonly counts: UsageCounts;
	readonly at: number;
};

type Process = {
	readonly core: UsageCore;
	readonly startedAt: number;
	readonly born: number;
	epoch: number;
	isAlive: boolean;
	suspendedUntil: number;
	isAtStore: boolean;
	isSending: boolean;
	era: number;
};

type Host = {
	readonly id: string;
	clockErrorMs: number;
	cutUntil: number;
	process: Process;
};

type StoredRow = KeyedRow & {readonly at: number};

export const windowMs = 5000;
export const lateMs = 10_000;
const leaseMs = 3000;
const tickMs = 100;
/** Time until a call without an answer is given up. It ends before the right to act. */
const callTimeoutMs = 800;
/** True time at the start: some time in a window. */
const startAt = 1_764_900_001_234;
/** Requests among which those of the last seconds are. */
const recentRequests = 500;
const customers = ['birch', 'heron', 'otter'];

/**
 * Runs entries with a store, a platform and a lease. The lease keeps the promises of the election: its holder knows when its
 * right ends, and nobody else gets it before that.
 */
export class UsageSimulation {
	static run(schedule: Schedule): UsageSimulation {
		const simulation = new UsageSimulation(schedule);
		simulation.run();
		return simulation;
	}

	readonly accepted: AcceptedReport[] = [];
	readonly requests: TrueRequest[] = [];
	readonly ends: Array<WindowEnd & {readonly host: string}> = [];
	datagrams = 0;
	private _now = startAt;
	private readonly _random: Random;
	private readonly _hosts: readonly Host[];
	private readonly _queue: Array<{
		readonly at: number;
		readonly run: () => void;
	}> = [];

	private _rows = new Map<string, StoredRow>();
	private readonly _history: Array<{
		readonly at: number;
		readonly rows: Map<string, StoredRow>;
	}> = [];

	private _version = 1;
	private _era = 0;
	private _lease: {readonly host: number; readonly token: number} | undefined;
	/** Time before which nobody gets the lease. */
	private _leaseFreeAt = 0;
	private _lapseUntil = 0;
	private _storeFault: {kind: Fault['kind']; until: number} | undefined;
	private _platformFault: {kind: Fault['kind']; until: number} | undefined;

	private constructor(private readonly _schedule: Schedule) {
		this._random = createRandom(_schedule.seed);
		this._hosts = Array.from({length: _schedule.hosts}, (_, i) => {
			const host = {
				id: `entry-${i}`,
				// A third of the clocks is off.
				clockErrorMs: i % 3 === 1 ? (this._random() - 0.5) * 8000 : 0,
				cutUntil: 0,
			};
			return {...host, process: this._start(host)};
		});
	}

	/** Number of rows of decided windows in the store. */
	get rowCount(): number {
		return this._rows.size;
	}

	get startedAt(): number {
		return startAt;
	}

	/** Runs the whole schedule. */
	run(): void {
		const {durationMs, faults} = this._schedule;
		for (const fault of faults) {
			this._at(startAt + fault.at, () => {
				this._apply(fault);
			});
		}

		for (let at = 0; at < durationMs; at += tickMs) {
			this._at(startAt + at, () => {
				this._step(at);
			});
		}

		while (this._queue.length > 0) {
			const {at, run} = this._queue.pop()!;
			this._now = at;
			run();
		}
	}

	/** Runs a function at a time. The queue is sorted, the next one last. */
	private _at(at: number, run: () => void): void {
		let low = 0;
		let high = this._queue.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this._queue[middle]!.at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this._queue.splice(low, 0, {at, run});
	}

	private _in(delayMs: number, run: () => void): void {
		this._at(this._now + delayMs, run);
	}

	private _start(host: {
		readonly id: string;
		readonly clockErrorMs: number;
	}): Process {
		const process: Omit<Process, 'core'> = {
			startedAt: this._now,
			born: this._now + host.clockErrorMs,
			epoch: 0,
			isAlive: true,
			suspendedUntil: 0,
			isAtStore: false,
			isSending: false,
			era: this._era,
		};
		const ids = () => this._hosts.map(({id}) => id);
		const core = UsageCore.create({
			hostId: host.id,
			born: process.born,
			times: {windowMs, lateMs},
			clocks: {now: 0, wallMs: process.born, epoch: 0},
			entries: ids,
			order: () => topByRendezvous('usage', ids(), this._hosts.length),
			onDecided: report => {
				this._tell(host.id, core.successor, report);
			},
			onEnded: end => {
				this.ends.push({...end, host: host.id});
			},
		});
		return Object.assign(process, {core});
	}

	private _clocks({process, clockErrorMs}: Host): Clocks {
		return {
			now: this._now - process.startedAt,
			wallMs: this._now + clockErrorMs,
			epoch: process.epoch,
		};
	}

	private _step(sinceStart: number): void {
		this._updateLease();
		if (this._history.length === 0 || sinceStart % 500 === 0) {
			this._history.push({at: this._now, rows: new Map(this._rows)});
		}

		for (const [i, host] of this._hosts.entries()) {
			if (this._runs(host)) {
				if (sinceStart % 200 === 0) {
					this._sendHeartbeat(host);
				}

				this._addRequests(host);
				this._tick(i, host);
			}
		}
	}

	private _runs({process}: Host): boolean {
		return process.isAlive && this._now >= process.suspendedUntil;
	}

	private _tick(i: number, host: Host): void {
		const {process} = host;
		const {core} = process;
		const held = this._heldToken(i);
		const due = core.tick(held, process.era, this._clocks(host));
		for (const {target, contribution} of due) {
			this._send(host, target, to => {
				this._onContribution(to, host, contribution);
			});
		}

		this._runStore(i, host);
		this._runReport(i, host);
	}

	private _onContribution(to: Host, from: Host, sent: Contribution): void {
		const ack = to.process.core.onContribution(sent, this._clocks(to));
		if (ack !== undefined) {
			this._send(to, from.id, back => {
				back.process.core.onAck(ack);
			});
		}
	}

	private _tell(
		from: string,
		target: string | undefined,
		report: DueReport,
	): void {
		const host = this._hosts.find(({id}) => id === from)!;
		if (target !== undefined) {
			this._send(host, target, to => {
				to.process.core.onTold(report, this._clocks(to));
			});
		}
	}

	private _sendHeartbeat(host: Host): void {
		const {wallMs} = this._clocks(host);
		const {holder} = host.process.core;
		const {era} = host.process;
		for (const {id} of this._hosts) {
			if (id !== host.id) {
				this._send(host, id, to => {
					to.process.core.noteClock(host.id, wallMs, this._clocks(to));
					to.process.core.noteHolder(holder);
					to.process.era = Math.max(to.process.era, era);
				});
			}
		}
	}

	private _send(from: Host, target: string, receive: (to: Host) => void): void {
		const {loss, straying} = this._schedule;
		const to = this._hosts.find(({id}) => id === target)!;
		this.datagrams++;
		if (this._now < from.cutUntil || this._random() < loss) {
			return;
		}

		const arrive = () => {
			if (this._runs(to) && this._now >= to.cutUntil) {
				receive(to);
			}
		};

		this._in(1 + this._random() * 15, arrive);
		if (this._random() < straying) {
			this._in(this._random() * 3000, arrive);
		}
	}

	/** Requests come to entries that have run for a moment. Some are seen only when they have been answered. */
	private _addRequests(host: Host): void {
		const {process} = host;
		if (this._now - process.startedAt < 500) {
			return;
		}

		const count = Math.floor(this._random() * 2.2);
		for (let i = 0; i < count; i++) {
			const customer =
				customers[Math.floor(this._random() * customers.length)]!;
			const request: TrueRequest = {
				process,
				customer,
				at: this._now,
				seenAt: undefined,
				killedAt: undefined,
			};
			this.requests.push(request);
			const lagMs =
				this._random() < 0.5 ? 0 : this._random() * this._schedule.maxLagMs;
			this._in(lagMs, () => {
				if (process.isAlive && this._now >= process.suspendedUntil) {
					request.seenAt = this._now;
					process.core.count(customer, lagMs, this._clocks(host));
				}
			});
		}
	}

	private _heldToken(i: number): number | undefined {
		return this._lease?.host === i && this._now >= this._lapseUntil
			? this._lease.token
			: undefined;
	}

	/** Gives a free lease to an entry that runs and reaches the store. */
	private _updateLease(): void {
		if (
			this._lease !== undefined ||
			this._now < this._leaseFreeAt ||
			this._isStoreFaulty
		) {
			return;
		}

		const ids = this._hosts
			.filter(host => this._runs(host) && this._now >= host.cutUntil)
			.map(({id}) => id);
		const [first] = topByRendezvous('usage', ids, 1);
		if (first !== undefined) {
			const host = this._hosts.findIndex(({id}) => id === first);
			this._version++;
			this._lease = {
				host,
				token: fencingTokenOf({era: this._era, version: this._version}),
			};
			const {process} = this._hosts[host]!;
			process.era = this._era;
		}
	}

	private _loseLease(): void {
		this._lease = undefined;
		this._leaseFreeAt = this._now + leaseMs + 300 + this._random() * 1000;
	}

	private get _isStoreFaulty(): boolean {
		return this._storeFault !== undefined && this._now < this._storeFault.until;
	}

	private _runStore(i: number, host: Host): void {
		const {process} = host;
		const {core} = process;
		const step = process.isAtStore
			? undefined
			: core.nextStoreStep(this._clocks(host));
		if (step === undefined) {
			return;
		}

		process.isAtStore = true;
		let isOver = false;
		const end = (run: () => void) => {
			if (!isOver && process.isAlive && process === host.process) {
				isOver = true;
				process.isAtStore = false;
				run();
			}
		};

		const fault = this._isStoreFaulty ? this._storeFault!.kind : undefined;
		const isCut = this._now < host.cutUntil;
		// Also a call that its sender has given up may be applied.
		const delayMs =
			this._random() < 0.05 ? 700 + this._random() * 600 : this._random() * 20;
		if (!isCut && fault !== 'storeDown') {
			this._in(delayMs, () => {
				const answer = this._callStore(step);
				if (fault === undefined && this._random() > 0.02) {
					this._in(2, () => {
						end(() => {
							answer(core, this._clocks(host));
							process.era = this._era;
						});
					});
				}
			});
		}

		this._in(callTimeoutMs, () => {
			end(() => {
				core.onStoreFailed(step, this._clocks(host));
			});
		});
	}

	/** Applies a call and returns what its answer does. */
	private _callStore(
		step: StoreStep,
	): (core: UsageCore, clocks: Clocks) => void {
		const era = this._era;
		switch (step.kind) {
			case 'readAll': {
				const rows = [...this._rows].map(([key, row]) => ({key, ...row}));
				return (core, clocks) => {
					core.onReadAll(rows, era, clocks);
				};
			}

			case 'read': {
				const row = this._rows.get(`${step.window}`);
				return (core, clocks) => {
					core.onRead(step.window, row, era, clocks);
				};
			}

			case 'write': {
				const write = this._write(step);
				return (core, clocks) => {
					core.onWritten(step, write, clocks);
				};
			}

			case 'remove': {
				this._rows.delete(`${step.window}`);
				return (core, clocks) => {
					core.onRemoved(step.window, clocks);
				};
			}
		}
	}

	private _write({
		window,
		text,
		expected,
	}: StoreStep & {kind: 'write'}): RowWrite {
		const key = `${window}`;
		const row = this._rows.get(key);
		const era = this._era;
		if ((row?.version ?? 0) !== expected) {
			return {kind: 'conflict', ...(row && {row}), era};
		}

		this._version++;
		const version = this._version;
		this._rows.set(key, {value: text, version, at: this._now});
		return {kind: 'written', version, era};
	}

	private _runReport(i: number, host: Host): void {
		const {process} = host;
		const {core} = process;
		const report = process.isSending
			? undefined
			: core.nextReport(this._clocks(host));
		if (report === undefined) {
			return;
		}

		process.isSending = true;
		let isOver = false;
		const end = (outcome: DutyOutcome) => {
			if (!isOver && process.isAlive && process === host.process) {
				isOver = true;
				process.isSending = false;
				core.onSent(report.window, outcome, this._clocks(host));
			}
		};

		if (this._heldToken(i) === undefined) {
			end('notSent');
			return;
		}

		const fault =
			this._platformFault !== undefined && this._now < this._platformFault.until
				? this._platformFault.kind
				: undefined;
		if (fault !== 'platformDown' && this._now >= host.cutUntil) {
			this._in(1 + this._random() * 50, () => {
				this.accepted.push({
					window: report.window,
					text: JSON.stringify(report.counts),
					counts: report.counts,
					at: this._now,
				});
				if (fault === undefined) {
					this._in(2, () => {
						end('accepted');
					});
				}
			});
		}

		this._in(callTimeoutMs, () => {
			end('unknown');
		});
	}

	private _apply({kind, forMs, host: i}: Fault): void {
		const host = this._hosts[i % this._hosts.length]!;
		const isHolder = this._lease?.host === i % this._hosts.length;
		const until = this._now + forMs;
		switch (kind) {
			case 'kill': {
				this._kill(host);
				break;
			}

			case 'suspend': {
				host.process.suspendedUntil = until;
				host.process.epoch++;
				break;
			}

			case 'cut': {
				host.cutUntil = until;
				break;
			}

			case 'clockBack': {
				host.clockErrorMs -= forMs;
				break;
			}

			case 'loseStoreAnswers':
			case 'storeDown': {
				this._storeFault = {kind, until};
				break;
			}

			case 'losePlatformAnswers':
			case 'platformDown': {
				this._platformFault = {kind, until};
				break;
			}

			case 'rewind': {
				const copy = this._history.findLast(({at}) => at <= this._now - forMs);
				this._rows = new Map(copy?.rows);
				this._era++;
				// Versions of the new era repeat those of the old one.
				this._version = Math.max(
					1,
					...[...this._rows.values()].map(({version}) => version),
				);
				break;
			}

			case 'lapse': {
				this._lapseUntil = until;
				break;
			}

			case 'handOver': {
				break;
			}
		}

		if (this._lease !== undefined && endsLease({kind, forMs}, isHolder)) {
			this._loseLease();
		}
	}

	private _kill(host: Host): void {
		host.process.isAlive = false;
		for (const request of this.requests.slice(-recentRequests)) {
			if (request.process === host.process) {
				request.killedAt = this._now;
			}
		}

		host.process = this._start(host);
	}
}

function endsLease(
	{kind, forMs}: Pick<Fault, 'kind' | 'forMs'>,
	isHolder: boolean,
): boolean {
	return (
		kind === 'handOver' ||
		kind === 'rewind' ||
		(isHolder && ['kill', 'suspend', 'cut'].includes(kind)) ||
		(kind === 'storeDown' && forMs > leaseMs)
	);
}
