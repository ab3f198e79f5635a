import {
	UsageCore,
	type Clocks,
	type CustomerRule,
	type FleetView,
	type ServiceSpec,
	type StoreStep,
	type UsageTimes,
	type WindowEnd,
} from '@balsamtray/core';
import type {
	GossipMessage,
	UsageAckMessage,
	UsageCountsMessage,
	UsageDecisionMessage,
} from '@balsamtray/protocol';
import type {CallRecord} from './call-record.js';
import {usageReadTimeoutMs, usageRefreshMs, usageTickMs} from './constants.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {DutyTask} from './duty-task.js';
import type {EventLog} from './event-log.js';
import type {Endpoint, EntrySettings, KeyedRows, MemberRow} from './types.js';

export type UsageTaskOptions = {
	readonly settings: Pick<EntrySettings, 'hostId' | 'duties'>;
	/** Monotonic clock, in milliseconds. */
	readonly clock: () => number;
	/** Wall clock, in milliseconds since the epoch; that of the host if absent. */
	readonly wallClock?: () => number;
	/** Clock epoch. Checks for a suspension first. */
	readonly epoch: () => number;
	/** Newest known era of the store. */
	readonly storeEra: () => number;
	/** Called with the era of each answer of the store. */
	readonly onEra: (era: number) => void;
	/** Rows of the listed entries. */
	readonly members: () => readonly MemberRow[];
	readonly fleet: Pick<FleetView, 'server' | 'workMs'>;
	readonly serviceOf: (name: string) => ServiceSpec | undefined;
	readonly rows: KeyedRows;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<DirectMetrics, 'noteUsageWindow'>;
};

/** Election of the holder, and its calls. */
type UsageDuty = Pick<
	DutyTask,
	'heldToken' | 'knownHolder' | 'candidates' | 'call'
>;

/** Reports usage together with the other entries: counts requests, sends and collects counts, and reports as the holder. */
export class UsageTask {
	/** Creates the task in a deployment that has the duty and windows; returns undefined in others. */
	static createIf(
		duty: UsageDuty | undefined,
		options: UsageTaskOptions,
	): UsageTask | undefined {
		const usage = options.settings.duties?.usage;
		return duty === undefined || usage === undefined
			? undefined
			: new UsageTask(duty, options, {
					windowMs: usage.windowS * 1000,
					lateMs: usage.lateMs,
				});
	}

	private readonly _core: UsageCore;
	private readonly _wallClock: () => number;
	private _endpoints: ReadonlyMap<string, Endpoint> = new Map();
	private _order: readonly string[] = [];
	private _refreshedAt = Number.NEGATIVE_INFINITY;
	private _isAtStore = false;
	private _isSending = false;
	private _isClockKnown: boolean | undefined;
	private _timer: NodeJS.Timeout | undefined;

	private constructor(
		private readonly _duty: UsageDuty,
		private readonly _options: UsageTaskOptions,
		times: UsageTimes,
	) {
		const {settings, wallClock} = _options;
		this._wallClock = wallClock ?? (() => Date.now());
		this._core = UsageCore.create({
			hostId: settings.hostId,
			born: this._wallClock(),
			times,
			clocks: this._clocks(),
			entries: () => [...this._endpoints.keys()],
			order: () => this._order,
			onDecided: ({window, counts}) => {
				const {successor} = this._core;
				this._sendTo(successor, {type: 'usageDecision', window, counts});
			},
			onEnded: (end, oldestAgeMs) => {
				this._onEnded(end, oldestAgeMs);
			},
		});
	}

	start(): void {
		this._timer = setInterval(() => {
			this.tick();
		}, usageTickMs);
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/** Sends what is due. Runs every `usageTickMs` once started. */
	tick(): void {
		this._refresh();
		const {storeEra} = this._options;
		this._core.noteHolder(this._duty.knownHolder());
		const due = this._core.tick(
			this._duty.heldToken(),
			storeEra(),
			this._clocks(),
		);
		for (const {target, contribution} of due) {
			this._sendTo(target, {type: 'usageCounts', contribution});
		}

		this._logClock();
		void this._runStore();
		void this._runReports();
	}

	/** Adds to a message that is about to be sent what others need of it. */
	stamp(message: GossipMessage): GossipMessage {
		if (message.type === 'demand') {
			return {...message, wantsClock: true};
		}

		if (message.type !== 'entry') {
			return message;
		}

		const {holder} = this._core;
		return {
			...message,
			wallMs: Math.round(this._wallClock()),
			...(holder !== undefined && {duties: {usage: holder}}),
		};
	}

	onMessage(message: GossipMessage, from: Endpoint): void {
		if (message.type === 'entry') {
			this._core.noteHolder(message.duties?.usage);
			this._noteClock(message.from, message.wallMs);
		}

		if (message.type === 'report') {
			this._noteClock(message.server, message.wallMs);
		}

		if (message.type === 'usageCounts') {
			const ack = this._core.onContribution(
				message.contribution,
				this._clocks(),
			);
			if (ack !== undefined) {
				this._options.send({type: 'usageAck', ack}, from);
			}
		}

		if (message.type === 'usageAck') {
			this._core.onAck(message.ack);
		}

		if (message.type === 'usageDecision') {
			this._core.onTold(message, this._clocks());
		}
	}

	/**
	 * Counts a request of a customer when its first event arrives, or the head of a response without events, unless it has
	 * begun before.
	 */
	countBegun(
		record: CallRecord,
		customer: CustomerRule | undefined,
		attempt: {readonly server: string; readonly sentAt: number | undefined},
	): void {
		if (record.noteBegun() && customer !== undefined) {
			const clocks = this._clocks();
			this._core.count(
				customer.name,
				this._begunAgoMs(attempt, clocks.now),
				clocks,
			);
		}
	}

	/**
	 * Time since a request began to run, in milliseconds. An engine has begun it just now; the work of a plain service comes
	 * before the head.
	 */
	private _begunAgoMs(
		{
			server,
			sentAt,
		}: {readonly server: string; readonly sentAt: number | undefined},
		now: number,
	): number {
		const {fleet, serviceOf} = this._options;
		const service = fleet.server(server)?.record.service ?? '';
		if (sentAt === undefined || serviceOf(service)?.engine !== undefined) {
			return 0;
		}

		return Math.min(
			now - sentAt,
			fleet.workMs(service) ?? Number.POSITIVE_INFINITY,
		);
	}

	private _clocks(): Clocks {
		const {clock, epoch} = this._options;
		return {epoch: epoch(), now: clock(), wallMs: this._wallClock()};
	}

	private _noteClock(source: string, wallMs: number | undefined): void {
		if (wallMs !== undefined) {
			this._core.noteClock(source, wallMs, this._clocks());
		}
	}

	/** Reads the known entries from time to time, as there may be thousands. */
	private _refresh(): void {
		const now = this._options.clock();
		if (now - this._refreshedAt < usageRefreshMs) {
			return;
		}

		this._refreshedAt = now;
		this._order = this._duty.candidates();
		this._endpoints = new Map(
			this._options
				.members()
				.flatMap(({id, endpoint}) =>
					endpoint === undefined ? [] : [[id, endpoint] as const],
				),
		);
	}

	private _sendTo(id: string | undefined, message: GossipMessage): void {
		const endpoint = id === undefined ? undefined : this._endpoints.get(id);
		if (endpoint !== undefined) {
			this._options.send(message, endpoint);
		}
	}

	/** Takes the steps at the store that are due, one after another. */
	private async _runStore(): Promise<void> {
		if (this._isAtStore) {
			return;
		}

		this._isAtStore = true;
		for (;;) {
			const step = this._core.nextStoreStep(this._clocks());
			// The right to act may end between two steps.
			if (step === undefined || this._duty.heldToken() === undefined) {
				break;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				await this._take(step);
			} catch (error) {
				this._core.onStoreFailed(step, this._clocks());
				this._options.log.write({
					event: 'error',
					step: `usage ${step.kind}`,
					error: String(error),
				});
			}
		}

		this._isAtStore = false;
		void this._runReports();
	}

	private async _take(step: StoreStep): Promise<void> {
		const {rows, onEra} = this._options;
		switch (step.kind) {
			case 'readAll': {
				const read = await rows.readAll(usageReadTimeoutMs);
				onEra(read.era);
				this._core.onReadAll(read.rows, read.era, this._clocks());
				break;
			}

			case 'read': {
				const {row, era} = await rows.get(keyOf(step.window));
				onEra(era);
				this._core.onRead(step.window, row, era, this._clocks());
				break;
			}

			case 'write': {
				const {window, text, expected} = step;
				const write = await rows.putIf(keyOf(window), text, expected);
				onEra(write.era);
				this._core.onWritten(step, write, this._clocks());
				break;
			}

			case 'remove': {
				await rows.remove(keyOf(step.window));
				this._core.onRemoved(step.window, this._clocks());
				break;
			}
		}
	}

	/** Sends the reports that are due, one after another. */
	private async _runReports(): Promise<void> {
		if (this._isSending) {
			return;
		}

		this._isSending = true;
		for (;;) {
			const report = this._core.nextReport(this._clocks());
			if (report === undefined) {
				break;
			}

			const {window, counts} = report;
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this._duty.call({
				kind: 'usage',
				window,
				counts,
			});
			this._core.onSent(window, outcome, this._clocks());
		}

		this._isSending = false;
	}

	private _onEnded(
		{window, outcome, counts, status, attempts, afterMs}: WindowEnd,
		oldestAgeMs: number | undefined,
	): void {
		const {log, metrics} = this._options;
		metrics.noteUsageWindow(
			outcome === 'reported' || outcome === 'late' ? outcome : 'missed',
		);
		log.write({
			event: 'usageWindow',
			window,
			outcome,
			...(counts !== undefined && {counts}),
			...(status !== undefined && {
				processes: status.processes,
				missing: status.missing,
			}),
			...(oldestAgeMs !== undefined && {oldestAgeMs: Math.round(oldestAgeMs)}),
			attempts,
			afterMs: Math.round(afterMs),
		});
	}

	private _logClock(): void {
		const {sources, errorMs, offsetMs} = this._core.trueTime;
		const isKnown = errorMs !== undefined;
		if (isKnown === this._isClockKnown) {
			return;
		}

		this._isClockKnown = isKnown;
		const {now, wallMs} = this._clocks();
		this._options.log.write({
			event: 'usageClock',
			isKnown,
			sources,
			ownOffMs: Math.round(wallMs - now - offsetMs),
			...(isKnown && {errorMs: Math.round(errorMs)}),
		});
	}
}

/** Whether only the usage task handles a message. */
export function isUsageMessage(
	message: GossipMessage,
): message is UsageCountsMessage | UsageAckMessage | UsageDecisionMessage {
	return (
		message.type === 'usageCounts' ||
		message.type === 'usageAck' ||
		message.type === 'usageDecision'
	);
}

function keyOf(window: number): string {
	return window.toString();
}
