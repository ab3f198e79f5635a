import {adapterKey} from '../authority/authority-view.js';
import {currentPace} from '../work/current-pace.js';
import {eventsPerIntervalSample} from '../work/constants.js';
import {EventIntervals} from '../work/event-intervals.js';
import type {OutputProgress} from '../work/output-progress.js';
import {RunningOutputs} from '../work/running-outputs.js';
import {RecentAdapters} from '../work/recent-adapters.js';
import type {NotedLoad} from '../work/plain-choice.js';
import {
	initialPrefillTokensPerMs,
	maxReportedPrefills,
	reportLifetimeMs,
	silenceTimeoutMs,
	suspicionMs,
	typicalPromptTokens,
	wantLifetimeMs,
} from './constants.js';
import {drainedDebt, debtForWait, promptWaitMs} from './prompt-pacer.js';
import type {
	AdapterWant,
	EngineReport,
	PrefillSample,
	ReportedLoad,
	ServerRecord,
} from './types.js';

/** An entry's view of one backend server: its record, its agent's last report, and the requests that this entry sent. */
export class ServerState {
	static create(record: ServerRecord, now: number): ServerState {
		return new ServerState(record, now);
	}

	/** Time at which the server vanished from the list; undefined while it is listed. */
	vanishedAt: number | undefined;
	/** Number of this entry's requests at the server. */
	outstanding = 0;
	/** Whether servers of the service say how long work takes on their hosts. Until this one does, it takes as usual. */
	tellsPace = false;
	/** What is expected of the outputs of this entry's requests at the server. */
	readonly outputs = RunningOutputs.create();
	/** Times between the events of this entry's streams at the server. */
	intervals = EventIntervals.create();
	/** Whether an interval was measured since the last call of `takeEventMs`. */
	private _hasNewInterval = false;
	private _skippedIntervals = 0;
	private _record: ServerRecord;
	private _coldUntil: number;
	private _coldStarts = 0;
	private _report: EngineReport | undefined;
	private _reportedAt = Number.NEGATIVE_INFINITY;
	private _sentAt: number[] = [];
	private _dispatchedAt: number[] = [];
	/** Prompt tokens that this entry reserved since the last report, as of `_unreportedDebtAt`. */
	private _unreportedDebt = 0;
	private _unreportedDebtAt = 0;
	/** Time at which bytes last arrived from the server. */
	private _lastActivityAt = Number.NEGATIVE_INFINITY;
	private _suspectedAt = Number.NEGATIVE_INFINITY;
	/** Time of the last report that showed a load. */
	private _loadingAt = Number.NEGATIVE_INFINITY;
	private readonly _recentAdapters = RecentAdapters.create();
	private readonly _wants = new Map<
		string,
		{
			readonly want: AdapterWant;
			readonly at: number;
			readonly since: number;
		}
	>();

	private _load: NotedLoad | undefined;
	/** Number of this entry's requests on each adapter, by adapter key. */
	private readonly _inUse = new Map<string, number>();
	/** Adapters used since the last call of `takeUsedAdapters`, by adapter key. */
	private _prefills: PrefillSample[] = [];
	private readonly _recentlyUsed = new Set<string>();
	/** Adapters that the server refused since its last report or record. */
	private readonly _refused = new Set<string>();

	private constructor(record: ServerRecord, now: number) {
		this._record = record;
		this._coldUntil = now + record.coldLeftMs;
	}

	get record(): ServerRecord {
		return this._record;
	}

	/**
	 * Version of the server's software. Empty if the server does not say, or has restarted since its record was written: a
	 * server may start again under its identifier with other software.
	 */
	get softwareVersion(): string {
		const {softwareVersion = '', born} = this._record;
		return born !== undefined && this.born > born ? '' : softwareVersion;
	}

	/** Number of times that the server turned cold, by its records. */
	get coldStarts(): number {
		return this._coldStarts;
	}

	get report(): EngineReport | undefined {
		return this._report;
	}

	setRecord(record: ServerRecord, now: number): void {
		if (record.coldLeftMs > this._record.coldLeftMs) {
			this._coldStarts++;
		}

		this._record = record;
		this._refused.clear();
		this.vanishedAt = undefined;
		if (record.coldLeftMs > 0) {
			this._coldUntil = now + record.coldLeftMs;
		}
	}

	/**
	 * Replaces the last report.
	 *
	 * @param coldMs time for which a restarted engine stays cold, in milliseconds
	 */
	setReport(report: EngineReport, coldMs: number, now: number): void {
		if (this._report !== undefined && this._report.born !== report.born) {
			this._coldUntil = Math.max(this._coldUntil, now + coldMs);
			this.intervals = EventIntervals.create();
		}

		this._recentAdapters.noteReport(report, this._report);
		this._report = report;
		this._reportedAt = now;
		this._loadingAt = report.pending.length > 0 ? now : this._loadingAt;
		this._unreportedDebt = 0;
		this._refused.clear();
	}

	hasFreshReport(now: number): boolean {
		return now - this._reportedAt < reportLifetimeMs;
	}

	/** Time since the last report, in milliseconds; infinite without one. */
	reportAgeMs(now: number): number {
		return now - this._reportedAt;
	}

	/**
	 * How long work takes at the server at present, against its usual time, by its last report or response. Undefined without
	 * a fresh report, or if the servers of its service do not say.
	 */
	pace(now: number): number | undefined {
		if (!this.hasFreshReport(now)) {
			return undefined;
		}

		const reported = this._report!.slowdown;
		const told = this._load?.slowdown;
		if (
			told !== undefined &&
			(reported === undefined || this._load!.at > this._reportedAt)
		) {
			return currentPace(told, now - this._load!.at);
		}

		return (
			currentPace(reported, this.reportAgeMs(now)) ??
			(this.tellsPace ? 1 : undefined)
		);
	}

	/** Whether the server held the adapter since its start and evicted it, so that it may still have it in its cache. */
	heldRecently(key: string): boolean {
		return this._recentAdapters.has(key);
	}

	/** Version of the adapter that the server holds, or undefined. A fresh report takes precedence over the list. */
	adapterVersion(
		model: string,
		adapter: string,
		now: number,
	): number | undefined {
		if (this._refused.has(adapterKey(model, adapter))) {
			return undefined;
		}

		const adapters =
			this._models(now).find(({name}) => name === model)?.adapters ?? {};
		// A caller names the adapter, for example `constructor`.
		return Object.hasOwn(adapters, adapter) ? adapters[adapter] : undefined;
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

	/** Estimated number of requests at the server, from its report and this entry's requests since then. */
	requestCount(now: number): number {
		if (!this.hasFreshReport(now)) {
			return this.outstanding;
		}

		const unreported = this._sentAt.filter(at => at >= this._reportedAt).length;
		return Math.max(
			this.outstanding,
			this._report!.running + this._report!.waiting + unreported,
		);
	}

	/** Whether requests wait at the server, by its report. */
	hasQueue(now: number): boolean {
		return this.hasFreshReport(now) && this._report!.waiting > 0;
	}

	/** Estimated requests at the server per slot. */
	slotUtilization(now: number): number {
		return this.requestCount(now) / this._record.slots;
	}

	/** Whether the tokens fit into the given share of the engine's memory, by its report. True without a fresh report. */
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

	/** Number of requests that this entry assigned to the server within the last second. */
	sentWithinSecond(now: number): number {
		return this._sentAt.filter(at => now - at <= 1000).length;
	}

	/** Number of requests that this entry assigned to the server from a time within the last second on. */
	sentSince(at: number): number {
		return this._sentAt.filter(sentAt => sentAt >= at).length;
	}

	/** Number of requests that this entry dispatched within the last second, after any wait for prefill or a connection. */
	dispatchedWithinSecond(now: number): number {
		return this._dispatchedAt.filter(at => now - at <= 1000).length;
	}

	/** Records that a connection was assigned to a request. */
	noteDispatched(now: number): void {
		this._dispatchedAt = this._dispatchedAt.filter(at => now - at <= 1000);
		this._dispatchedAt.push(now);
	}

	/** The engine's prefill rate by its agent's last estimate, in tokens per millisecond. */
	get prefillTokensPerMs(): number {
		return this._report?.prefillTokensPerMs ?? initialPrefillTokensPerMs;
	}

	/** Estimated prompt tokens that were admitted for the engine and are not prefilled yet. */
	promptDebt(now: number): number {
		return (
			this._reportedDebt(now) +
			drainedDebt(
				this._unreportedDebt,
				now - this._unreportedDebtAt,
				this.prefillTokensPerMs,
			)
		);
	}

	/** Estimated time until a prompt may be sent to the engine, in milliseconds. */
	promptDelayMs(now: number, tokens: number = typicalPromptTokens): number {
		return promptWaitMs(this.promptDebt(now), tokens, this.prefillTokensPerMs);
	}

	/** Records a prompt for which this entry reserves capacity. The next report includes it. */
	notePrompt(tokens: number, now: number): void {
		this._unreportedDebt =
			drainedDebt(
				this._unreportedDebt,
				now - this._unreportedDebtAt,
				this.prefillTokensPerMs,
			) + tokens;
		this._unreportedDebtAt = now;
	}

	/** Sets the debt to match the delay that the server's agent returned for a prompt that could not wait that long. */
	notePromptDelay(delayMs: number, now: number): void {
		const reported = this._reportedDebt(now);
		this._unreportedDebt = Math.max(
			0,
			debtForWait(delayMs, this.prefillTokensPerMs) - reported,
		);
		this._unreportedDebtAt = now;
	}

	/** Records how long a prompt took at the engine, for its agent. */
	notePrefill(sample: PrefillSample): void {
		this._prefills = [...this._prefills, sample].slice(-maxReportedPrefills);
	}

	/** Returns the samples since the last call. */
	takePrefills(): readonly PrefillSample[] {
		const prefills = this._prefills;
		this._prefills = [];
		return prefills;
	}

	/** Learned time of the steps of one event, in milliseconds; undefined if there is nothing new since the last call. */
	takeEventMs(): number | undefined {
		const eventMs = this._hasNewInterval
			? this.intervals.intervalMs
			: undefined;
		this._hasNewInterval = false;
		return eventMs;
	}

	/**
	 * Number of this entry's requests that use the adapter on this server.
	 *
	 * @param key `adapterKey` of the adapter
	 */
	inUseCount(key: string): number {
		return this._inUse.get(key) ?? 0;
	}

	/** Whether other servers are preferred: a connection broke, or an engine with a report went silent. */
	isSuspected(now: number): boolean {
		return now - this._suspectedAt < suspicionMs || this.isSilent(now);
	}

	/** Whether an engine with a report went silent. */
	isSilent(now: number): boolean {
		const silentForMs = now - Math.max(this._reportedAt, this._lastActivityAt);
		return this._report !== undefined && silentForMs >= silenceTimeoutMs;
	}

	/** Time of the server's last known start, in milliseconds since the epoch; 0 if unknown. */
	get born(): number {
		return Math.max(this._report?.born ?? 0, this._record.born ?? 0);
	}

	/** Marks the adapter as not resident, overriding the last report or record. */
	noteRefusedAdapter(key: string): void {
		this._refused.add(key);
	}

	/** Time at which bytes last arrived from the server; undefined before the first. */
	get heardAt(): number | undefined {
		const at = Math.max(this._reportedAt, this._lastActivityAt);
		return Number.isFinite(at) ? at : undefined;
	}

	/** Notes that bytes arrived from the server. */
	noteActivity(now: number): void {
		this._lastActivityAt = now;
	}

	markSuspected(now: number): void {
		this._suspectedAt = now;
	}

	/** What the server last said of its load in a response. */
	get load(): NotedLoad | undefined {
		return this._load;
	}

	noteLoad(load: ReportedLoad, now: number): void {
		this._load = {...load, at: now, outstanding: this.outstanding};
	}

	/**
	 * Records a request that was assigned to the server.
	 *
	 * @param output what is expected of its output; absent for plain services
	 */
	noteSent(
		key: string | undefined,
		now: number,
		output?: OutputProgress,
	): void {
		if (output !== undefined) {
			this.outputs.add(output);
			output.begin((intervalMs, at) => {
				this._noteInterval(intervalMs, at);
			});
		}

		this.outstanding++;
		this._sentAt = this._sentAt.filter(at => now - at <= 1000);
		this._sentAt.push(now);
		if (key !== undefined) {
			this._inUse.set(key, (this._inUse.get(key) ?? 0) + 1);
			this._recentlyUsed.add(key);
		}
	}

	/** Records the end of a request that was sent to the server. */
	noteEnded(key: string | undefined, output?: OutputProgress): void {
		this.outstanding--;
		if (output !== undefined) {
			this.outputs.delete(output);
		}

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

	/** Adds or refreshes a want. Returns whether it is new or for another version. */
	addWant(want: AdapterWant, now: number): boolean {
		const key = adapterKey(want.model, want.adapter);
		const askedForMs = this.askedForMs(want, now);
		this._wants.set(key, {want, at: now, since: now - (askedForMs ?? 0)});
		return askedForMs === undefined;
	}

	/** Time for which this entry has asked the server for the adapter in that version; undefined if it does not ask. */
	askedForMs(
		{model, adapter, version}: AdapterWant,
		now: number,
	): number | undefined {
		const known = this._wants.get(adapterKey(model, adapter));
		return known !== undefined &&
			now - known.at < wantLifetimeMs &&
			known.want.version === version
			? now - known.since
			: undefined;
	}

	/** Time since the last report that showed a load, in milliseconds. */
	loadedNothingForMs(now: number): number {
		return now - this._loadingAt;
	}

	/** Number of adapters that the server loads, by its report, or that this entry wants it to load. */
	loadQueueLength(now: number): number {
		const pending = this.hasFreshReport(now) ? this._report!.pending : [];
		const unordered = this.wants(now).filter(
			({model, adapter}) =>
				!this.isPending(model, adapter, now) &&
				this.adapterVersion(model, adapter, now) === undefined,
		);
		return pending.length + unordered.length;
	}

	/** Wants that have not expired. */
	wants(now: number): readonly AdapterWant[] {
		for (const [key, {at}] of this._wants) {
			if (now - at >= wantLifetimeMs) {
				this._wants.delete(key);
			}
		}

		return [...this._wants.values()].map(({want}) => want);
	}

	/** Whether adapters were used since the last call of `takeUsedAdapters`. */
	get hasUnreportedUse(): boolean {
		return this._recentlyUsed.size > 0;
	}

	/** Returns the adapters that are in use or were used since the last call. */
	takeUsedAdapters(): readonly string[] {
		const used = new Set([...this._inUse.keys(), ...this._recentlyUsed]);
		this._recentlyUsed.clear();
		return [...used];
	}

	/** Measures some of the intervals between events, so that an event costs little. */
	private _noteInterval(intervalMs: number, now: number): void {
		this._skippedIntervals++;
		if (this._skippedIntervals >= eventsPerIntervalSample) {
			this._skippedIntervals = 0;
			this._hasNewInterval = true;
			this.intervals.note(intervalMs, this.pace(now));
		}
	}

	private _reportedDebt(now: number): number {
		return this.hasFreshReport(now)
			? drainedDebt(
					this._report!.promptDebt ?? 0,
					now - this._reportedAt,
					this.prefillTokensPerMs,
				)
			: 0;
	}

	private _models(now: number) {
		return this.hasFreshReport(now)
			? this._report!.models
			: this._record.models;
	}
}
