import {adapterKey} from '../authority/authority-view.js';
import {
	reportLifetimeMs,
	silenceMs,
	suspicionMs,
	usualPromptTokens,
	wantLifetimeMs,
} from './constants.js';
import {debtAfter, debtOf, turnDelayMs} from './prompt-pacer.js';
import type {AdapterWant, EngineReport, ServerRecord} from './types.js';

/** One backend server as an entry sees it: its record, its agent's report, and what the entry itself sent. */
export class ServerState {
	static create(record: ServerRecord, now: number): ServerState {
		return new ServerState(record, now);
	}

	/** Time at which the list dropped the server, if it did. */
	vanishedAt: number | undefined;
	/** Requests of this entry that the server has. */
	outstanding = 0;
	private _record: ServerRecord;
	private _coldUntil: number;
	private _report: EngineReport | undefined;
	private _reportedAt = Number.NEGATIVE_INFINITY;
	private _sentAt: number[] = [];
	/** Prompt tokens that this entry sent since the last report. */
	private _ownDebt = 0;
	private _ownDebtAt = 0;
	private _heardAt = Number.NEGATIVE_INFINITY;
	private _suspectedAt = Number.NEGATIVE_INFINITY;
	private readonly _wants = new Map<string, {want: AdapterWant; at: number}>();
	private readonly _inUse = new Map<string, number>();
	private readonly _usedSince = new Set<string>();
	/** Adapters that the server refused since it was last heard what it holds. */
	private readonly _refused = new Set<string>();

	private constructor(record: ServerRecord, now: number) {
		this._record = record;
		this._coldUntil = now + record.coldLeftMs;
	}

	get record(): ServerRecord {
		return this._record;
	}

	get report(): EngineReport | undefined {
		return this._report;
	}

	setRecord(record: ServerRecord, now: number): void {
		this._record = record;
		this._refused.clear();
		this.vanishedAt = undefined;
		if (record.coldLeftMs > 0) {
			this._coldUntil = now + record.coldLeftMs;
		}
	}

	/** @param coldMs time for which an engine that started anew stays cold */
	setReport(report: EngineReport, coldMs: number, now: number): void {
		if (this._report !== undefined && this._report.born !== report.born) {
			this._coldUntil = Math.max(this._coldUntil, now + coldMs);
		}

		this._report = report;
		this._reportedAt = now;
		this._ownDebt = 0;
		this._refused.clear();
	}

	hasFreshReport(now: number): boolean {
		return now - this._reportedAt < reportLifetimeMs;
	}

	/** Version of the adapter that the server holds, undefined if none. Reports go before the list. */
	adapterVersion(
		model: string,
		adapter: string,
		now: number,
	): number | undefined {
		return this._refused.has(adapterKey(model, adapter))
			? undefined
			: this._models(now).find(({name}) => name === model)?.adapters[adapter];
	}

	hasModel(model: string, now: number): boolean {
		return this._models(now).some(({name}) => name === model);
	}

	isPending(model: string, adapter: string, now: number): boolean {
		return (
			this.hasFreshReport(now) &&
			this._report!.pending.some(
				pending => pending.model === model && pending.adapter === adapter,
			)
		);
	}

	/** Requests at the server, as far as is known. */
	load(now: number): number {
		if (!this.hasFreshReport(now)) {
			return this.outstanding;
		}

		const unseen = this._sentAt.filter(at => at >= this._reportedAt).length;
		return Math.max(
			this.outstanding,
			this._report!.running + this._report!.waiting + unseen,
		);
	}

	/** Whether the engine's memory has room, going by its report and what this entry sent since. */
	hasMemoryFor(tokens: number, share: number, now: number): boolean {
		if (!this.hasFreshReport(now)) {
			return true;
		}

		const {memoryUsed, memoryTotal} = this._report!;
		return memoryUsed + tokens <= share * memoryTotal;
	}

	isCold(now: number): boolean {
		return now < this._coldUntil;
	}

	/** Requests that this entry sent within the last second. */
	sentWithinSecond(now: number): number {
		return this._sentAt.filter(at => now - at <= 1000).length;
	}

	/** Time until the engine could read a prompt, in milliseconds. */
	promptDelayMs(now: number, tokens: number = usualPromptTokens): number {
		return turnDelayMs(this._promptDebt(now), tokens);
	}

	/** This entry took a turn for a prompt, which the next report will include. */
	notePrompt(tokens: number, now: number): void {
		this._ownDebt = debtAfter(this._ownDebt, now - this._ownDebtAt) + tokens;
		this._ownDebtAt = now;
	}

	/** The server's agent said when a prompt could be sent, which was too late. */
	noteDelay(delayMs: number, now: number): void {
		const reported = this._reportedDebt(now);
		this._ownDebt = Math.max(0, debtOf(delayMs) - reported);
		this._ownDebtAt = now;
	}

	/** Requests of this entry that use the adapter here. */
	inUse(key: string): number {
		return this._inUse.get(key) ?? 0;
	}

	/** Whether requests should rather go elsewhere: a connection broke, or an engine that reported fell silent. */
	isSuspected(now: number): boolean {
		const silentForMs = now - Math.max(this._reportedAt, this._heardAt);
		return (
			now - this._suspectedAt < suspicionMs ||
			(this._report !== undefined && silentForMs >= silenceMs)
		);
	}

	/** The server does not hold the adapter, whatever was heard of it before. */
	noteRefusedAdapter(key: string): void {
		this._refused.add(key);
	}

	/** Bytes of the server came. */
	noteHeard(now: number): void {
		this._heardAt = now;
	}

	suspect(now: number): void {
		this._suspectedAt = now;
	}

	noteSent(key: string | undefined, now: number): void {
		this.outstanding++;
		this._sentAt = this._sentAt.filter(at => now - at <= 1000);
		this._sentAt.push(now);
		if (key !== undefined) {
			this._inUse.set(key, (this._inUse.get(key) ?? 0) + 1);
			this._usedSince.add(key);
		}
	}

	noteEnded(key: string | undefined): void {
		this.outstanding--;
		if (key === undefined) {
			return;
		}

		const count = (this._inUse.get(key) ?? 1) - 1;
		if (count === 0) {
			this._inUse.delete(key);
		} else {
			this._inUse.set(key, count);
		}
	}

	/** Returns whether the want is new. */
	want(want: AdapterWant, now: number): boolean {
		const key = adapterKey(want.model, want.adapter);
		const known = this._wants.get(key);
		this._wants.set(key, {want, at: now});
		return (
			known === undefined ||
			now - known.at >= wantLifetimeMs ||
			known.want.version !== want.version
		);
	}

	/** Adapters that requests wait for here. */
	wants(now: number): readonly AdapterWant[] {
		for (const [key, {at}] of this._wants) {
			if (now - at >= wantLifetimeMs) {
				this._wants.delete(key);
			}
		}

		return [...this._wants.values()].map(({want}) => want);
	}

	/** Adapters that are in use or were used since the last call. */
	takeUsedAdapters(): readonly string[] {
		const used = new Set([...this._inUse.keys(), ...this._usedSince]);
		this._usedSince.clear();
		return [...used];
	}

	private _promptDebt(now: number): number {
		return (
			this._reportedDebt(now) + debtAfter(this._ownDebt, now - this._ownDebtAt)
		);
	}

	private _reportedDebt(now: number): number {
		return this.hasFreshReport(now)
			? debtAfter(this._report!.promptDebt ?? 0, now - this._reportedAt)
			: 0;
	}

	private _models(now: number) {
		return this.hasFreshReport(now)
			? this._report!.models
			: this._record.models;
	}
}
