import {setTimeout as delay} from 'node:timers/promises';
import {
	callTimeoutMs,
	cutOffPenaltyMs,
	DutyLease,
	dutyOrder,
	dutyPlace,
	PlatformContact,
	type DutyCall,
	type DutyName,
	type DutyOutcome,
	type LeaseChange,
	type LeaseStep,
} from '@balsamtray/core';
import {dutyCheckMs, dutyDrainCheckMs, dutyStopTimeoutMs} from './constants.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {EventLog} from './event-log.js';
import type {DutyEndpoint, KeyedRows} from './types.js';

export type DutyTaskOptions = {
	readonly duty: DutyName;
	/** Name of this host. */
	readonly hostId: string;
	readonly leaseMs: number;
	/** Time between the starts of two calls to the platform, in milliseconds. */
	readonly callIntervalMs: number;
	/** Monotonic clock, in milliseconds. */
	readonly clock: () => number;
	/** Clock epoch. Checks for a suspension first. */
	readonly epoch: () => number;
	/** Newest known era of the store. */
	readonly storeEra: () => number;
	/** Called with the era of each answer of the store. */
	readonly onEra: (era: number) => void;
	/** Returns a text that no other process and no other call returns. */
	readonly createClaim: () => string;
	readonly rows: Pick<KeyedRows, 'get' | 'putIf'>;
	readonly endpoint: DutyEndpoint;
	/** Known entries that are not lost, this one included. */
	readonly entries: () => readonly string[];
	/** Whether this entry reads the store for its zone. */
	readonly isRoot: () => boolean;
	/** Whether this entry is ready and not stopping. */
	readonly isReady: () => boolean;
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<DirectMetrics, 'noteDutyChange' | 'noteDutyCall'>;
	/** Called when this entry begins or ceases to hold the lease. */
	readonly onHeldChanged: (isHeld: boolean) => void;
};

/** The holder of a duty as far as this entry knows. */
export type DutyHolder = {readonly host: string; readonly token: number};

/** Elects the holder of a duty together with the other entries, by a lease row in the store, and sends the holder's calls. */
export class DutyTask {
	static create(options: DutyTaskOptions): DutyTask {
		return new DutyTask(options);
	}

	private readonly _lease: DutyLease;
	private readonly _contact = PlatformContact.create();
	/** Number of calls to the platform that are under way. */
	private _calls = 0;
	private _nextCallAt = Number.NEGATIVE_INFINITY;
	/** Time until which this entry lets all others go first. */
	private _lastUntil = Number.NEGATIVE_INFINITY;
	private _isReleasing = false;
	private _isStopping = false;
	private _hasStarted = false;
	private _storeError: string | undefined;
	private _ended: Promise<void> = Promise.resolve();

	private constructor(private readonly _options: DutyTaskOptions) {
		const {hostId, leaseMs, createClaim, clock} = _options;
		this._lease = DutyLease.create({
			host: hostId,
			leaseMs,
			createClaim,
			now: clock(),
		});
	}

	/** Whether this entry holds the lease now. */
	isHeld(): boolean {
		return this.heldToken() !== undefined;
	}

	/** Fencing token under which this entry may send calls now; undefined if it does not hold the lease. */
	heldToken(): number | undefined {
		const {epoch, storeEra, clock} = this._options;
		const currentEpoch = epoch();
		this._lease.noteEra(storeEra(), clock());
		return this._lease.heldToken(clock(), currentEpoch);
	}

	/** The holder by the newest row that this entry has seen; itself while it holds the lease. */
	knownHolder(): DutyHolder | undefined {
		return this._lease.holder;
	}

	/** Known entries in the order in which they take over, this one included. */
	candidates(): readonly string[] {
		return dutyOrder(this._options.duty, this._options.entries());
	}

	/** Sends the call if the lease is still held right before the write. */
	async call(call: DutyCall): Promise<DutyOutcome> {
		const {duty, metrics} = this._options;
		await this._awaitTurn();
		const outcome = await this._send(call);
		metrics.noteDutyCall(duty, outcome);
		return outcome;
	}

	/** Begins to take part in the election. */
	start(): void {
		if (!this._hasStarted) {
			this._hasStarted = true;
			this._ended = this._run();
		}
	}

	/** Ends the part in the election. Resolves when the lease is released, or after some time. */
	async stop(): Promise<void> {
		this._isStopping = true;
		this._isReleasing = true;
		this._lease.beginRelease('stopping');
		this._tellChanges();
		await Promise.race([this._ended, delay(dutyStopTimeoutMs)]);
	}

	private async _awaitTurn(): Promise<void> {
		const {clock, callIntervalMs} = this._options;
		const now = clock();
		const startAt = Math.max(now, this._nextCallAt);
		this._nextCallAt = startAt + callIntervalMs;
		// A timer may fire up to a millisecond early.
		for (let waitMs = startAt - now; waitMs > 0; waitMs = startAt - clock()) {
			// Each wait follows from the one before.
			// eslint-disable-next-line no-await-in-loop
			await delay(Math.ceil(waitMs));
		}
	}

	private async _send(call: DutyCall): Promise<DutyOutcome> {
		const {clock, epoch, endpoint} = this._options;
		const token = this.heldToken();
		const now = clock();
		const timeoutMs = callTimeoutMs(this._lease.rightLeftMs(now, epoch()));
		if (token === undefined || timeoutMs === undefined) {
			return 'notSent';
		}

		this._contact.noteSent(now);
		this._calls++;
		const mayWrite = () => this.heldToken() === token;
		try {
			const outcome = await endpoint.send(call, token, timeoutMs, mayWrite);
			if (outcome === 'accepted' || outcome === 'rejected') {
				this._contact.noteAnswered();
			} else if (outcome === 'unknown') {
				this._contact.noteUnanswered();
			}

			return outcome;
		} finally {
			this._calls--;
		}
	}

	private async _run(): Promise<void> {
		while (!this._isStopping || this._lease.isOwn || this._calls > 0) {
			// Each step depends on the one before.
			// eslint-disable-next-line no-await-in-loop
			const waitMs = await this._step();
			this._tellChanges();
			if (waitMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await delay(waitMs);
			}
		}
	}

	/** Takes a step in the election. Resolves with the time until the next one, in milliseconds. */
	private async _step(): Promise<number> {
		const {clock, epoch, storeEra} = this._options;
		const currentEpoch = epoch();
		const now = clock();
		this._lease.noteEra(storeEra(), now);
		this._tellChanges();
		this._releaseIfCutOff(now);
		if (this._isReleasing && this._calls > 0) {
			// A call that is under way must not come after those of the next holder.
			return dutyDrainCheckMs;
		}

		this._isReleasing = false;
		const step = this._lease.next(now, currentEpoch, this._place(now));
		if (step.kind === 'wait') {
			return Math.min(Math.ceil(step.forMs), dutyCheckMs);
		}

		await this._carryOut(step);
		return 0;
	}

	private async _carryOut(
		step: Exclude<LeaseStep, {kind: 'wait'}>,
	): Promise<void> {
		const {duty, rows, clock, epoch, onEra} = this._options;
		const lease = this._lease;
		try {
			if (step.kind === 'read') {
				const read = await rows.get(duty);
				lease.noteRead(read, clock(), epoch());
				onEra(read.era);
			} else {
				const write = await rows.putIf(duty, step.value, step.expected);
				lease.noteWritten(write, clock(), epoch());
				onEra(write.era);
			}

			this._storeError = undefined;
		} catch (error) {
			this._storeError = String(error);
			lease.noteFailed(clock());
		}
	}

	private _place(now: number) {
		const {duty, hostId, entries, isRoot, isReady} = this._options;
		return this._lease.isOwn
			? {isWatching: true, takeDelayMs: 0}
			: dutyPlace(
					duty,
					{
						host: hostId,
						entries: entries(),
						isRoot: isRoot(),
						isLast: !isReady() || now < this._lastUntil,
					},
					this._lease.holder?.host,
				);
	}

	/** Gives the lease back if this entry reaches the store, but the platform does not answer its calls. */
	private _releaseIfCutOff(now: number): void {
		if (
			!this._isStopping &&
			this._contact.isCutOff(now) &&
			this._lease.isStoreAnswering(now) &&
			this._lease.mayReleaseAsCutOff(now) &&
			this._options.entries().length > 1
		) {
			this._lease.beginRelease('cutOff');
			this._isReleasing = true;
			this._lastUntil = now + cutOffPenaltyMs;
			this._contact.reset();
			this._tellChanges();
		}
	}

	private _tellChanges(): void {
		const {clock, epoch, onHeldChanged} = this._options;
		const currentEpoch = epoch();
		for (;;) {
			const change = this._lease.takeChange(clock(), currentEpoch);
			if (change === undefined) {
				return;
			}

			this._log(change);
			onHeldChanged(change.kind !== 'lost');
		}
	}

	private _log(change: LeaseChange): void {
		const {duty, log, metrics} = this._options;
		if (change.kind === 'lost') {
			const {token} = change;
			const isCutOff = change.reason === 'released' && !this._isStopping;
			const reason = isCutOff ? 'cutOff' : change.reason;
			log.write({
				event: 'dutyLost',
				duty,
				token,
				reason,
				...(reason === 'expired' &&
					this._storeError !== undefined && {error: this._storeError}),
			});
			metrics.noteDutyChange(duty, reason, undefined);
			return;
		}

		const {kind, token, previous, withoutHolderMs} = change;
		log.write({
			event: 'dutyHeld',
			duty,
			token,
			change: kind,
			...(previous !== undefined && {previous}),
			...(withoutHolderMs !== undefined && {
				withoutHolderMs: Math.round(withoutHolderMs),
			}),
		});
		metrics.noteDutyChange(duty, kind, withoutHolderMs);
	}
}
