import {
	decideResumption,
	streamLifetimeMs,
	type Resumption,
	type SoftwareVersions,
	type StreamKnowledge,
	type StreamOrigin,
	type StreamOriginEntry,
	type StreamOrigins,
} from '@balsamtray/core';
import type {
	GossipMessage,
	StreamNote,
	StreamQuery,
	StreamReply,
} from '@balsamtray/protocol';
import {
	maxStreamsPerNote,
	streamCopies,
	streamQueryRetryMs,
	streamQueryTimeoutMs,
} from './constants.js';
import type {Endpoint} from './types.js';

/** Another entry that may keep the origin of a stream. */
export type StreamKeeper = {
	readonly id: string;
	readonly endpoint: Endpoint;
	/** Whether its heartbeats have stopped. */
	readonly isLost: boolean;
};

/** A stream that a caller resumes. */
export type ResumedStream = {
	/** The call that brought the first event; undefined if the caller does not say. */
	readonly id: string | undefined;
	readonly service: string;
	/** Time limit of the request, in milliseconds. */
	readonly limitMs: number;
};

export type StreamDirectoryOptions = {
	readonly hostId: string;
	readonly clock: () => number;
	/** Time at which the server list was last known to be the newest. */
	readonly listedAt: () => number;
	readonly origins: StreamOrigins;
	readonly versions: SoftwareVersions;
	/** Other entries that may keep the origin of a stream, in order. */
	readonly keepers: (stream: string) => readonly StreamKeeper[];
	readonly send: (message: GossipMessage, to: Endpoint) => void;
	/** Runs a function after a time. Returns a function that cancels this. */
	readonly schedule: (run: () => void, delayMs: number) => () => void;
	/** Called when a query to the other entries ends. */
	readonly onQueryEnded: (
		outcome: 'answered' | 'silent',
		durationMs: number,
	) => void;
};

type PendingQuery = {
	readonly answers: Map<string, StreamKnowledge>;
	readonly onAnswer: () => void;
};

/**
 * Knows at which software version a stream began, over all entries. The entry that passes a stream's first event on keeps
 * its origin and sends it to a few others, which depend on the stream alone, so that any entry finds it.
 */
export class StreamDirectory {
	static create(options: StreamDirectoryOptions): StreamDirectory {
		return new StreamDirectory(options);
	}

	private readonly _pending = new Map<number, PendingQuery>();
	/** Starts at random, so that a restarted process does not repeat the identifiers of its last queries. */
	private _nextAskId = Math.floor(Math.random() * 2 ** 31);

	private constructor(private readonly _options: StreamDirectoryOptions) {}

	/**
	 * Records the origin of a stream whose first event arrived. Call it before the event is passed on: whoever has the event
	 * may resume the stream elsewhere if this entry ends at that moment.
	 */
	noteFirstEvent(id: string, origin: StreamOrigin, limitMs: number): void {
		const {origins, clock, send} = this._options;
		const entry = {id, origin, forMs: streamLifetimeMs(limitMs)};
		origins.note(entry, clock());
		for (const {endpoint} of this._receivers(id)) {
			send({type: 'streamNote', streams: [entry]}, endpoint);
		}
	}

	/** Finds out where a stream goes on that a caller resumes. */
	async find({id, service, limitMs}: ResumedStream): Promise<Resumption> {
		const {versions, clock, listedAt} = this._options;
		const spanMs = streamLifetimeMs(limitMs);
		if (versions.isUnversioned(service)) {
			const origin = {service, softwareVersion: ''};
			return {kind: 'known', origin, by: 'unversioned'};
		}

		const origin =
			id === undefined
				? undefined
				: this._options.origins.originOf(id, clock());
		const answers =
			id === undefined || origin !== undefined
				? []
				: await this._ask(id, service, spanMs);
		const now = clock();
		const onlyVersion = versions.onlyVersion(service, spanMs, {
			confirmedAt: listedAt(),
			now,
		});
		return decideResumption(
			service,
			{origin, onlyVersion},
			answers,
			versions.listed(service),
		);
	}

	/** Sends each origin that this entry keeps to the entries that keep it when this one has left. */
	handOver(): void {
		const {origins, clock, send} = this._options;
		const byReceiver = new Map<
			string,
			{readonly to: Endpoint; readonly streams: StreamOriginEntry[]}
		>();
		for (const entry of origins.entries(clock())) {
			for (const {id, endpoint} of this._receivers(entry.id)) {
				const due = byReceiver.get(id) ?? {to: endpoint, streams: []};
				byReceiver.set(id, due);
				due.streams.push(entry);
			}
		}

		for (const {to, streams} of byReceiver.values()) {
			for (let i = 0; i < streams.length; i += maxStreamsPerNote) {
				const part = streams.slice(i, i + maxStreamsPerNote);
				send({type: 'streamNote', streams: part}, to);
			}
		}
	}

	onNote({streams}: StreamNote): void {
		const {origins, clock} = this._options;
		const now = clock();
		for (const entry of streams) {
			origins.note(entry, now);
		}
	}

	onQuery({askId, id, service, spanMs}: StreamQuery, from: Endpoint): void {
		const {origins, versions, clock, listedAt, send, hostId} = this._options;
		const now = clock();
		const origin = origins.originOf(id, now);
		const onlyVersion = versions.onlyVersion(service, spanMs, {
			confirmedAt: listedAt(),
			now,
		});
		send(
			{
				type: 'streamAnswer',
				askId,
				from: hostId,
				...(origin && {origin}),
				...(onlyVersion !== undefined && {onlyVersion}),
			},
			from,
		);
	}

	onReply({askId, from, origin, onlyVersion}: StreamReply): void {
		const query = this._pending.get(askId);
		query?.answers.set(from, {origin, onlyVersion});
		query?.onAnswer();
	}

	private _receivers(id: string): readonly StreamKeeper[] {
		return this._options
			.keepers(id)
			.filter(({isLost}) => !isLost)
			.slice(0, streamCopies);
	}

	/** Asks all entries that may keep the origin. Resolves when one knows it, or all have replied, or the time is over. */
	private async _ask(
		id: string,
		service: string,
		spanMs: number,
	): Promise<readonly StreamKnowledge[]> {
		const {keepers, send, schedule, clock, onQueryEnded} = this._options;
		const asked = keepers(id);
		if (asked.length === 0) {
			return [];
		}

		const askId = this._nextAskId++;
		const startedAt = clock();
		const answers = new Map<string, StreamKnowledge>();
		const ask = () => {
			for (const keeper of asked) {
				if (!answers.has(keeper.id)) {
					send(
						{type: 'streamAsk', askId, id, service, spanMs},
						keeper.endpoint,
					);
				}
			}
		};

		return new Promise(resolve => {
			const end = (outcome: 'answered' | 'silent') => {
				for (const cancel of cancels) {
					cancel();
				}

				this._pending.delete(askId);
				onQueryEnded(outcome, clock() - startedAt);
				resolve([...answers.values()]);
			};

			const cancels = [
				...streamQueryRetryMs.map(delayMs => schedule(ask, delayMs)),
				schedule(() => {
					end('silent');
				}, streamQueryTimeoutMs),
			];
			const onAnswer = () => {
				const isKnown = [...answers.values()].some(
					({origin}) => origin !== undefined,
				);
				if (isKnown || asked.every(keeper => answers.has(keeper.id))) {
					end('answered');
				}
			};

			this._pending.set(askId, {answers, onAnswer});
			ask();
		});
	}
}
