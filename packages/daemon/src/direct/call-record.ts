import type {Resumption, ServerChoice} from '@balsamtray/core';
import type {CallRefusal} from './call-refusal.js';
import type {TurnOutcome} from './engine-turn.js';
import type {RequestEvent} from './log-events.js';

/** Result of a request, known when it ends. */
export type CallOutcome = {
	readonly id: string | undefined;
	/** Monotonic time in milliseconds, as is `endedAt`. */
	readonly arrivedAt: number;
	readonly endedAt: number;
	readonly status: number;
	/** Undefined if the response was complete. */
	readonly refusal: CallRefusal | undefined;
	readonly route: string | undefined;
	readonly customer: string | undefined;
	readonly adapter: string | undefined;
	readonly configVersion: number | undefined;
	readonly proofAgeMs: number | undefined;
	/** The stream that the caller resumed; undefined if it named none. */
	readonly resumes: string | undefined;
	readonly resumedAfter: string | undefined;
	/** Number of events of the stream, and how many were expected; absent without a stream of an engine. */
	readonly output?: Pick<RequestEvent, 'events' | 'expectedEvents'>;
};

/** Version of the adapter that a server was known to hold, and the newest declared one. */
export type AdapterVersionsAtDispatch = Pick<
	RequestEvent,
	'adapterVersion' | 'declaredVersion'
>;

/** Collects the data for the log line of one request. */
export class CallRecord {
	static create(): CallRecord {
		return new CallRecord();
	}

	private readonly _sends: string[] = [];
	private readonly _softwareVersions: string[] = [];
	private _resumption: Resumption | undefined;
	private _sentAt: number | undefined;
	private _adapterVersions: AdapterVersionsAtDispatch = {};
	private _waitedFor: string | undefined;
	/** Begin of the wait that goes on; undefined without one. */
	private _waitingSince: number | undefined;
	/** Time of all waits by their cause, in milliseconds. */
	private readonly _waits = new Map<string, number>();
	private _turn: Pick<RequestEvent, 'turn' | 'turnEstimateMs'> = {};
	private _choice: Pick<RequestEvent, 'chosenBy'> = {};
	private _firstByteAt: number | undefined;
	private _lastByteAt: number | undefined;
	private _longestPauseMs = 0;
	private _hasBegun = false;
	private _rateRefusal:
		{readonly owner: string; readonly level: number} | undefined;

	private constructor() {}

	/** Cause of the last wait; undefined if the request never waited. */
	get waitedFor(): string | undefined {
		return this._waitedFor;
	}

	/**
	 * Records that units of the customer's rate were refused.
	 *
	 * @param owner the entry that decided; undefined if no owner replied
	 * @param level the units that were left
	 */
	noteRateRefusal(owner: string | undefined, level: number): void {
		this._rateRefusal = {owner: owner ?? 'none', level};
	}

	/** Records by which rule an engine was chosen, and returns the choice. A wait ends with the choice of a server. */
	noteChoice(choice: ServerChoice, now: number): ServerChoice {
		if (choice.kind === 'send') {
			this._endWait(now);
			const {rule} = choice;
			this._choice = rule === undefined ? {} : {chosenBy: rule};
		}

		return choice;
	}

	/** Records that the request waits from now on, or still waits, and for what. */
	noteWait(cause: string, now: number): void {
		this._endWait(now);
		this._waitedFor = cause;
		this._waitingSince = now;
	}

	/** Records how the last wait for a turn at an engine ended, and the agent's first estimate of it. */
	noteTurn(turn: TurnOutcome, estimateMs: number | undefined): void {
		this._turn = {
			turn,
			...(estimateMs !== undefined && {
				turnEstimateMs: Math.round(estimateMs),
			}),
		};
	}

	noteDispatch(now: number): void {
		this._endWait(now);
		this._sentAt = now;
	}

	noteAdapterVersions(versions: AdapterVersionsAtDispatch): void {
		this._adapterVersions = versions;
	}

	/** Records the outcome of an attempt on a server. */
	noteAttempt(server: string, outcome: string): void {
		this._sends.push(`${server}: ${outcome}`);
	}

	/** Records where a stream that the caller resumes may go on. */
	noteResumption(resumption: Resumption): void {
		this._resumption = resumption;
	}

	/**
	 * Records that the request began to run. Returns whether it had not begun before; a stream that the caller resumes began
	 * with an earlier call.
	 */
	noteBegun(): boolean {
		const isFirst = !this._hasBegun && this._resumption === undefined;
		this._hasBegun = true;
		return isFirst;
	}

	/** Records that a server began to write events of the stream. */
	noteWriter(softwareVersion: string): void {
		this._softwareVersions.push(softwareVersion);
	}

	/** Records that a chunk of the response body arrived. */
	noteBytes(now: number): void {
		this._firstByteAt ??= now;
		this._longestPauseMs = Math.max(
			this._longestPauseMs,
			now - (this._lastByteAt ?? now),
		);
		this._lastByteAt = now;
	}

	toEvent(outcome: CallOutcome): RequestEvent {
		this._endWait(outcome.endedAt);
		const {refusal, route, customer, adapter, configVersion, proofAgeMs} =
			outcome;
		const {resumes, resumedAfter} = outcome;
		const sinceArrival = (at: number) => Math.round(at - outcome.arrivedAt);
		return {
			event: 'request',
			id: outcome.id ?? '',
			status: outcome.status,
			sends: this._sends,
			totalMs: sinceArrival(outcome.endedAt),
			...(route !== undefined && {route}),
			...(customer !== undefined && {customer}),
			...(adapter !== undefined && {adapter}),
			...(refusal && {reason: refusal.reason, notRun: refusal.isNotRun}),
			...(refusal?.quarantinedPart !== undefined && {
				quarantinedPart: refusal.quarantinedPart,
			}),
			...(refusal?.retryAfterMs !== undefined && {
				retryAfterMs: Math.round(refusal.retryAfterMs),
			}),
			...(this._rateRefusal && {
				rateOwner: this._rateRefusal.owner,
				rateLevel: this._rateRefusal.level,
			}),
			...(this._sentAt !== undefined && {waitedMs: sinceArrival(this._sentAt)}),
			...this._describeWaits(),
			...this._turn,
			...this._choice,
			...this._adapterVersions,
			...(this._firstByteAt !== undefined && {
				firstByteMs: sinceArrival(this._firstByteAt),
				longestPauseMs: Math.round(this._longestPauseMs),
			}),
			...outcome.output,
			...(configVersion !== undefined && {configVersion}),
			...(proofAgeMs !== undefined && {proofAgeMs: Math.round(proofAgeMs)}),
			...(this._softwareVersions.length > 0 && {
				softwareVersions: this._softwareVersions,
			}),
			...(resumes !== undefined && {resumes}),
			...(resumedAfter !== undefined && {resumedAfter}),
			...(this._resumption && describeResumption(this._resumption)),
		};
	}

	private _describeWaits(): Pick<RequestEvent, 'waitedFor' | 'waits'> {
		return this._waitedFor === undefined
			? {}
			: {waitedFor: this._waitedFor, waits: roundedValues(this._waits)};
	}

	private _endWait(now: number): void {
		if (this._waitedFor !== undefined && this._waitingSince !== undefined) {
			const waitedMs = this._waits.get(this._waitedFor) ?? 0;
			this._waits.set(this._waitedFor, waitedMs + now - this._waitingSince);
			this._waitingSince = undefined;
		}
	}
}

function roundedValues(
	values: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
	return Object.fromEntries(
		[...values].map(([key, value]) => [key, Math.round(value)]),
	);
}

function describeResumption(
	resumption: Resumption,
): Pick<RequestEvent, 'originBy' | 'originVersion'> {
	return resumption.kind === 'known'
		? {
				originBy: resumption.by,
				originVersion: resumption.origin.softwareVersion,
			}
		: {originBy: 'unknown'};
}
