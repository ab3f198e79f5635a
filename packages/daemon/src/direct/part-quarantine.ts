import {setTimeout as delay} from 'node:timers/promises';
import type {
	PartSuspectEntry,
	PartSuspects,
	PartVerdict,
} from '@balsamtray/core';
import type {PartNote} from '@balsamtray/protocol';
import {
	storeBackoffMs,
	storeTimeoutMs,
	suspectsFetchIntervalMs,
} from './constants.js';
import type {EventLog} from './event-log.js';
import {
	PartExposures,
	type ExposedCall,
	type InterruptionEvidence,
	type PartExposure,
	type PartExposuresOptions,
} from './part-exposures.js';
import {PartNoteQueue} from './part-note-queue.js';
import type {TextResponse} from './text-server.js';
import type {Endpoint, SuspectStore} from './types.js';

export type PartQuarantineOptions = Pick<
	PartExposuresOptions,
	'clock' | 'hasEnded' | 'isSilent'
> & {
	readonly suspects: PartSuspects;
	/** Whether this entry is the one that may try a quarantined part. */
	readonly isOwner: (part: string) => boolean;
	/** Sends evidence to the linked entries. */
	readonly spread: (note: Pick<PartNote, 'suspects' | 'cleared'>) => void;
	/** Runs a function after a delay in milliseconds. */
	readonly schedule: (run: () => void, delayMs: number) => void;
	readonly fetchSuspects: (
		from: Endpoint,
	) => Promise<readonly PartSuspectEntry[]>;
	readonly store: SuspectStore;
	readonly log: EventLog;
	readonly onError: (step: string, err: unknown) => void;
};

/**
 * Quarantine of parts of prompts that crash servers. Collects evidence from this entry's calls, shares it with the other
 * entries, and decides which requests may be sent.
 */
export class PartQuarantine {
	static create(options: PartQuarantineOptions): PartQuarantine {
		return new PartQuarantine(options);
	}

	private readonly _exposures: PartExposures;
	private readonly _notes: PartNoteQueue;
	private _quarantined: ReadonlySet<string> = new Set();
	private _fetchedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly _options: PartQuarantineOptions) {
		const {clock, spread, schedule} = _options;
		this._notes = PartNoteQueue.create({
			clock,
			schedule,
			rank: part => _options.suspects.entryOf(part, clock())?.ends.length ?? 0,
			send: spread,
		});
		this._exposures = PartExposures.create({
			..._options,
			onInterrupted: (call, evidence, begunAt, now) => {
				this._onInterrupted(call, evidence, begunAt, now);
			},
			onProgress: (call, begunAt, now) => {
				this._onProgress(call, begunAt, now);
			},
		});
	}

	/** Reads the parts that were quarantined when this entry started, in case that no other entry knows them. */
	async restore(): Promise<void> {
		const {clock, store, onError} = this._options;
		let isRead = false;
		while (!isRead) {
			try {
				// Retries until the store responds.
				// eslint-disable-next-line no-await-in-loop
				this.merge(await store.readAll(storeTimeoutMs), 'store', clock());
				isRead = true;
			} catch (error) {
				onError('suspects', error);
				// eslint-disable-next-line no-await-in-loop
				await delay(storeBackoffMs.max);
			}
		}
	}

	/** Text that differs if the quarantined parts or their trials differ; empty without any. */
	digest(now: number): string {
		return this._options.suspects.digest(now);
	}

	/** All evidence, for an entry that has less. */
	entries(now: number): readonly PartSuspectEntry[] {
		return this._options.suspects.entries(now);
	}

	/** Number of quarantined parts. */
	count(now: number): number {
		return this._options.suspects.quarantined(now).length;
	}

	/** Adds a request that is sent now. */
	add(call: ExposedCall): PartExposure {
		return this._exposures.add(call);
	}

	/**
	 * Decides whether a request with these parts may be sent.
	 *
	 * @param isRepeat whether the request was already interrupted at a server
	 */
	check(parts: readonly string[], isRepeat: boolean, now: number): PartVerdict {
		const {suspects, isOwner} = this._options;
		return suspects.check(parts, {isRepeat, isOwner}, now);
	}

	/** Records that a request is sent to try a quarantined part. */
	startTrial(part: string, request: string | undefined, now: number): void {
		const {suspects, log} = this._options;
		suspects.startTrial(part, now);
		log.write({
			event: 'partTrial',
			part,
			...(request !== undefined && {request}),
		});
		const trials = suspects.entryOf(part, now)?.trials ?? 0;
		this._notes.addTrial(part, trials, now);
		this._save([part], now);
	}

	/**
	 * Answers an operator's request: GET lists the quarantined parts with their evidence, DELETE lifts one.
	 *
	 * @param path path with its query, which names the part to lift
	 */
	respond(method: string, path: string, now: number): TextResponse {
		if (method === 'GET') {
			const quarantined = this._options.suspects.quarantined(now);
			return jsonResponse(200, this._entriesOf(quarantined, now));
		}

		const query = path.slice(path.indexOf('?') + 1);
		const part = new URLSearchParams(query).get('part');
		if (method !== 'DELETE' || part === null) {
			return jsonResponse(400, {error: 'expected GET, or DELETE with ?part='});
		}

		const isLifted = this.lift(part, now);
		return jsonResponse(isLifted ? 200 : 404, {part, isLifted});
	}

	/** Lifts the quarantine of a part at all entries. Returns whether there was one. */
	lift(part: string, now: number): boolean {
		const {suspects} = this._options;
		if (!suspects.lift(part, now)) {
			return false;
		}

		this._notes.addCleared([part], now);
		this._noteChanges('operator', now);
		return true;
	}

	/** Looks for servers that ended without breaking their connections, and for what is due. Runs several times per second. */
	checkServers(now: number): void {
		this._exposures.check(now);
		this._noteChanges('calls', now);
	}

	/** Takes another entry's evidence. */
	onNote({suspects, cleared}: PartNote, from: string, now: number): void {
		this._options.suspects.merge(suspects, now);
		for (const {part, agoMs} of cleared) {
			this._options.suspects.noteCleared(part, now - agoMs, now);
		}

		this._noteChanges(from, now);
	}

	merge(entries: readonly PartSuspectEntry[], from: string, now: number): void {
		this._options.suspects.merge(entries, now);
		this._noteChanges(from, now);
	}

	/** Fetches the evidence of an entry that has quarantined other parts than this one. */
	async onDigest(
		peer: {readonly id: string; readonly endpoint: Endpoint},
		digest: string | undefined,
	): Promise<void> {
		const {clock, fetchSuspects, onError} = this._options;
		const now = clock();
		if (
			digest === undefined ||
			digest === this.digest(now) ||
			now - this._fetchedAt < suspectsFetchIntervalMs
		) {
			return;
		}

		this._fetchedAt = now;
		try {
			const entries = await fetchSuspects(peer.endpoint);
			this.merge(entries, peer.id, clock());
		} catch (error) {
			onError(`suspects of ${peer.id}`, error);
		}
	}

	private _onInterrupted(
		{parts, start}: ExposedCall,
		evidence: InterruptionEvidence,
		begunAt: number,
		now: number,
	): void {
		const {suspects, log} = this._options;
		const startId = `${start.server}@${start.born}`;
		const ends = suspects.noteEnds(parts, startId, begunAt, now);
		if (ends.length === 0) {
			return;
		}

		log.write({
			event: 'partsSuspected',
			parts: ends.map(({part}) => part),
			server: start.server,
			start: startId,
			evidence,
		});
		for (const {part, at} of ends) {
			this._notes.addEnds(part, startId, at);
		}

		this._noteChanges('calls', now);
	}

	private _onProgress(
		{parts}: ExposedCall,
		begunAt: number,
		now: number,
	): void {
		const {suspects} = this._options;
		const cleared = suspects.noteProgress(parts, begunAt, now);
		if (cleared.length === 0) {
			return;
		}

		this._notes.addCleared(cleared, begunAt);
		this._noteChanges('answer', now);
	}

	/**
	 * Acts on parts that were quarantined or freed since the last call. Some are by the time that passes alone.
	 *
	 * @param source what told it
	 */
	private _noteChanges(source: string, now: number): void {
		const quarantined = new Set(this._options.suspects.quarantined(now));
		const before = this._quarantined;
		this._quarantined = quarantined;
		for (const part of before) {
			if (!quarantined.has(part)) {
				this._onCleared(part, source);
			}
		}

		const added = [...quarantined].filter(part => !before.has(part));
		this._onQuarantined(added, source, now);
	}

	/** Takes requests with newly quarantined parts back from servers that have not begun on them. */
	private _onQuarantined(
		parts: readonly string[],
		source: string,
		now: number,
	): void {
		if (parts.length === 0) {
			return;
		}

		for (const {part, ends} of this._entriesOf(parts, now)) {
			this._options.log.write({
				event: 'partQuarantined',
				part,
				ends: ends.map(({start}) => start),
				source,
			});
		}

		this._exposures.recall(new Set(parts));
		if (source !== 'store') {
			this._save(parts, now);
		}
	}

	private _onCleared(part: string, source: string): void {
		const {log, store, isOwner, onError} = this._options;
		log.write({event: 'partCleared', part, source});
		if (isOwner(part)) {
			store.remove(part).catch((error: unknown) => {
				onError('suspect removal', error);
			});
		}
	}

	/** Writes parts to the store that this entry owns. */
	private _save(parts: readonly string[], now: number): void {
		const {store, isOwner, onError} = this._options;
		for (const entry of this._entriesOf(parts, now)) {
			if (isOwner(entry.part)) {
				store.write(entry).catch((error: unknown) => {
					onError('suspect', error);
				});
			}
		}
	}

	private _entriesOf(
		parts: readonly string[],
		now: number,
	): readonly PartSuspectEntry[] {
		const {suspects} = this._options;
		return parts.flatMap(part => suspects.entryOf(part, now) ?? []);
	}
}

function jsonResponse(status: number, value: unknown): TextResponse {
	return {
		status,
		contentType: 'application/json',
		body: JSON.stringify(value),
	};
}
