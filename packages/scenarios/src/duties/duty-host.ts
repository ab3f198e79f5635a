import {
	callTimeoutMs,
	cutOffPenaltyMs,
	DutyLease,
	dutyPlace,
	PlatformContact,
	type RowRead,
	type RowWrite,
} from '@balsamtray/core';
import type {EventQueue} from './event-queue.js';

/** What a host of the simulation needs of its surroundings. */
export type DutyHostOptions = {
	readonly name: string;
	readonly hosts: readonly string[];
	readonly isRoot: boolean;
	readonly leaseMs: number;
	/** Milliseconds of the monotonic clock per millisecond of true time. */
	readonly clockRate: number;
	readonly queue: EventQueue;
	/** Calls the store. `answer` is called with the result unless it is lost. */
	readonly readStore: (answer: (read: RowRead) => void) => void;
	readonly writeStore: (
		value: string,
		expected: number,
		answer: (write: RowWrite) => void,
	) => void;
	/** Sends a call to the platform. `answer` is called unless it is lost; calls not received in time are given up. */
	readonly callPlatform: (
		token: number,
		timeoutMs: number,
		answer: () => void,
	) => void;
	/** Called when a stopped process has ended. */
	readonly onEnd: (host: DutyHost) => void;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
};

/** Timeout of a call to the store, in milliseconds. */
const storeTimeoutMs = 1000;

/** Time between two calls of a holder, in milliseconds. */
const callIntervalMs = 150;

/** Advance of the wall clock that is noticed as a suspension, in milliseconds. */
const noticedMs = 100;

/** A host with an entry that takes part in the election. Its process may be suspended, killed, stopped and started again. */
export class DutyHost {
	static create(options: DutyHostOptions): DutyHost {
		return new DutyHost(options);
	}

	/** Time until which links to the platform and to the store are cut. */
	platformCutUntil = 0;
	storeCutUntil = 0;
	/** Runs once when the process has begun its next write to the store. */
	onWrite: (() => void) | undefined;
	private _lease: DutyLease | undefined;
	/** Number of starts of the process. Events of an earlier one do nothing. */
	private _start = 0;
	private _claims = 0;
	private _frozenUntil = 0;
	/** Events that came while the process did not run. */
	private _deferred: Array<() => void> = [];
	/** Time for which the monotonic clock stood still, and how much of it the process has noticed. */
	private _stoppedMs = 0;
	private _noticedStopMs = 0;
	private _epoch = 0;
	private _contact = PlatformContact.create();
	private _lastUntil = 0;
	private _calls = 0;
	private _isStopping = false;
	private _isReleasing = false;

	private constructor(private readonly _options: DutyHostOptions) {}

	get isRunning(): boolean {
		return this._lease !== undefined;
	}

	get isStopping(): boolean {
		return this._isStopping && this.isRunning;
	}

	/** Whether the host may act, as it would find if it ran now. */
	get isHeld(): boolean {
		return this._lease?.heldToken(this._now(), this._epoch) !== undefined;
	}

	/** Starts the process with empty memory. */
	start(): void {
		const {name, leaseMs, random} = this._options;
		const start = ++this._start;
		this._epoch = 0;
		this._noticedStopMs = this._stoppedMs;
		this._isStopping = false;
		this._isReleasing = false;
		this._calls = 0;
		this._lastUntil = 0;
		this._frozenUntil = 0;
		this._deferred = [];
		this._contact = PlatformContact.create();
		this._lease = DutyLease.create({
			host: name,
			leaseMs,
			createClaim: () => `${name}/${this._claims++}`,
			now: this._now(),
		});
		this._after(start, random() * 100, () => {
			this._step(start);
		});
		this._after(start, callIntervalMs, () => {
			this._callPlatform(start);
		});
	}

	kill(): void {
		this._start++;
		this._lease = undefined;
	}

	/** Stops in order: releases the lease and ends. */
	stop(): void {
		this._run(this._start, () => {
			this._lease?.beginRelease('stopping');
			this._isStopping = true;
			this._isReleasing = true;
		});
	}

	/** Suspends the process, and its monotonic clock with it unless only the process is stopped. */
	suspend(forMs: number, isClockStopped: boolean): void {
		const {queue} = this._options;
		if (queue.now < this._frozenUntil) {
			return;
		}

		this._frozenUntil = queue.now + forMs;
		if (isClockStopped) {
			// The clock is not read before the end of the suspension.
			this._stoppedMs += forMs;
		}

		queue.after(forMs, () => {
			const deferred = this._deferred;
			this._deferred = [];
			for (const run of deferred) {
				run();
			}
		});
	}

	private _now(): number {
		const {queue, clockRate} = this._options;
		return (queue.now - this._stoppedMs) * clockRate;
	}

	private _checkedEpoch(): number {
		if (this._stoppedMs - this._noticedStopMs > noticedMs) {
			this._epoch++;
		}

		this._noticedStopMs = this._stoppedMs;
		return this._epoch;
	}

	/** Runs something in a process once it is not suspended; nothing if it has ended. */
	private _run(start: number, run: () => void): void {
		if (start !== this._start) {
			return;
		}

		if (this._options.queue.now < this._frozenUntil) {
			this._deferred.push(() => {
				this._run(start, run);
			});
		} else {
			run();
		}
	}

	private _after(start: number, delayMs: number, run: () => void): void {
		this._options.queue.after(delayMs, () => {
			this._run(start, run);
		});
	}

	private _step(start: number): void {
		const lease = this._lease!;
		const {name, hosts, isRoot, readStore, writeStore} = this._options;
		const now = this._now();
		const epoch = this._checkedEpoch();
		lease.takeChange(now, epoch);
		if (this._isStopping && !lease.isOwn && this._calls === 0) {
			this.kill();
			this._options.onEnd(this);
			return;
		}

		if (
			this._contact.isCutOff(now) &&
			lease.isStoreAnswering(now) &&
			lease.mayReleaseAsCutOff(now)
		) {
			lease.beginRelease('cutOff');
			this._isReleasing = true;
			this._lastUntil = now + cutOffPenaltyMs;
			this._contact.reset();
		}

		if (this._isReleasing && this._calls > 0) {
			this._after(start, 20, () => {
				this._step(start);
			});
			return;
		}

		this._isReleasing = false;
		const step = lease.next(
			now,
			epoch,
			dutyPlace(
				'usage',
				{host: name, entries: hosts, isRoot, isLast: now < this._lastUntil},
				lease.holder?.host,
			),
		);
		if (step.kind === 'wait') {
			this._after(start, Math.min(step.forMs, 1000) + 0.01, () => {
				this._step(start);
			});
			return;
		}

		let isDone = false;
		const finish = (note: () => void) => {
			this._run(start, () => {
				if (!isDone) {
					isDone = true;
					note();
					this._step(start);
				}
			});
		};

		if (step.kind === 'read') {
			readStore(read => {
				finish(() => {
					lease.noteRead(read, this._now(), this._checkedEpoch());
				});
			});
		} else {
			writeStore(step.value, step.expected, write => {
				finish(() => {
					lease.noteWritten(write, this._now(), this._checkedEpoch());
				});
			});
			const {onWrite} = this;
			this.onWrite = undefined;
			onWrite?.();
		}

		this._after(start, storeTimeoutMs, () => {
			finish(() => {
				lease.noteFailed(this._now());
			});
		});
	}

	private _callPlatform(start: number): void {
		const lease = this._lease!;
		const now = this._now();
		const epoch = this._checkedEpoch();
		const token = lease.heldToken(now, epoch);
		const timeoutMs = callTimeoutMs(lease.rightLeftMs(now, epoch));
		if (token !== undefined && timeoutMs !== undefined) {
			this._contact.noteSent(now);
			let isDone = false;
			const end = (isAnswered: boolean) => {
				if (!isDone) {
					isDone = true;
					this._calls--;
					if (isAnswered) {
						this._contact.noteAnswered();
					} else {
						this._contact.noteUnanswered();
					}
				}
			};

			this._calls++;
			this._options.callPlatform(token, timeoutMs, () => {
				this._run(start, () => {
					end(true);
				});
			});
			this._after(start, timeoutMs, () => {
				end(false);
			});
		}

		this._after(start, callIntervalMs, () => {
			this._callPlatform(start);
		});
	}
}
