import type {CallRefusal} from './call-refusal.js';
import type {RequestEvent} from './log-events.js';

/** What is known of a request at its end. */
export type CallEnd = {
	readonly id: string | undefined;
	/** Times of the steady clock in milliseconds. */
	readonly arrivedAt: number;
	readonly endedAt: number;
	readonly status: number;
	/** Absent where the answer was whole. */
	readonly refusal: CallRefusal | undefined;
	readonly route: string | undefined;
	readonly customer: string | undefined;
	readonly adapter: string | undefined;
	readonly configVersion: number | undefined;
	readonly proofAgeMs: number | undefined;
};

/** Collects what the log says of a request. */
export class CallRecord {
	static create(): CallRecord {
		return new CallRecord();
	}

	private readonly _sends: string[] = [];
	private _sentAt: number | undefined;
	private _waitedFor: string | undefined;
	private _firstByteAt: number | undefined;
	private _lastByteAt: number | undefined;
	private _longestPauseMs = 0;
	private _rate: {readonly owner: string; readonly level: number} | undefined;

	private constructor() {}

	/** What the request waited for last. */
	get waitedFor(): string | undefined {
		return this._waitedFor;
	}

	/**
	 * The customer's rate was refused.
	 *
	 * @param owner the entry that decided; undefined where none could be asked
	 */
	noteRate(owner: string | undefined, level: number): void {
		this._rate = {owner: owner ?? 'none', level};
	}

	noteWait(cause: string): void {
		this._waitedFor = cause;
	}

	noteSent(now: number): void {
		this._sentAt = now;
	}

	/** A send ended. */
	noteSend(server: string, outcome: string): void {
		this._sends.push(`${server}: ${outcome}`);
	}

	/** A part of the answer came. */
	noteBytes(now: number): void {
		this._firstByteAt ??= now;
		this._longestPauseMs = Math.max(
			this._longestPauseMs,
			now - (this._lastByteAt ?? now),
		);
		this._lastByteAt = now;
	}

	toEvent(end: CallEnd): RequestEvent {
		const {refusal, route, customer, adapter, configVersion, proofAgeMs} = end;
		const since = (at: number) => Math.round(at - end.arrivedAt);
		return {
			event: 'request',
			id: end.id ?? '',
			status: end.status,
			sends: this._sends,
			totalMs: since(end.endedAt),
			...(route !== undefined && {route}),
			...(customer !== undefined && {customer}),
			...(adapter !== undefined && {adapter}),
			...(refusal && {reason: refusal.reason, notRun: refusal.isNotRun}),
			...(refusal?.retryAfterMs !== undefined && {
				retryAfterMs: Math.round(refusal.retryAfterMs),
			}),
			...(this._rate && {
				rateOwner: this._rate.owner,
				rateLevel: this._rate.level,
			}),
			...(this._sentAt !== undefined && {waitedMs: since(this._sentAt)}),
			...(this._waitedFor !== undefined && {waitedFor: this._waitedFor}),
			...(this._firstByteAt !== undefined && {
				firstByteMs: since(this._firstByteAt),
				longestPauseMs: Math.round(this._longestPauseMs),
			}),
			...(configVersion !== undefined && {configVersion}),
			...(proofAgeMs !== undefined && {proofAgeMs: Math.round(proofAgeMs)}),
		};
	}
}
