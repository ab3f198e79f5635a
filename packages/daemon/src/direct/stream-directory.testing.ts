import {
	createRandom,
	EntryTopology,
	SoftwareVersions,
	StreamOrigins,
	type Random,
	type Resumption,
	type ServerRecord,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import {StreamDirectory} from './stream-directory.js';
import type {Endpoint} from './types.js';

/** Interval at which an entry reads the server list, in milliseconds. */
const listIntervalMs = 1000;

export const simulatedService = 's';

export type DirectoryFleetOptions = {
	readonly entries: number;
	readonly zones: number;
	readonly seed: number;
	/** Share of the datagrams that are lost. */
	readonly lossRate?: number;
};

/** What an entry knows from its start until its end. */
type DirectoryProcess = {
	readonly directory: StreamDirectory;
	readonly versions: SoftwareVersions;
	/** Time of the last read of the server list. */
	readAt: number;
};

/** An entry of the simulated fleet. */
export type DirectoryEntry = {
	readonly id: string;
	readonly zone: string;
	readonly topology: EntryTopology;
	/** Undefined while the entry is down. */
	process: DirectoryProcess | undefined;
	isCutFromStore: boolean;
};

/** Many `StreamDirectory` in virtual time over a network that delays and loses datagrams. */
export class DirectoryFleet {
	static create(options: DirectoryFleetOptions): DirectoryFleet {
		return new DirectoryFleet(options);
	}

	now = 0;
	readonly entries: readonly DirectoryEntry[];
	readonly random: Random;
	/** Software versions of the servers that the store lists. */
	listed: readonly string[] = ['v1'];
	readonly sent = {notes: 0, asks: 0, bytes: 0};
	private readonly _due = new Map<number, Array<() => void>>();

	private constructor(private readonly _options: DirectoryFleetOptions) {
		this.random = createRandom(_options.seed);
		const members = Array.from({length: _options.entries}, (_, i) => ({
			id: `entry-${i}`,
			zone: `zone-${i % _options.zones}`,
		}));
		this.entries = members.map(member => ({
			...member,
			topology: EntryTopology.create(member),
			process: undefined,
			isCutFromStore: false,
		}));
		for (const entry of this.entries) {
			entry.topology.setMembers(members);
			this.start(entry);
		}
	}

	/** Whether datagrams pass from one entry to another. */
	canPass: (from: DirectoryEntry, to: DirectoryEntry) => boolean = () => true;

	get live(): readonly DirectoryEntry[] {
		return this.entries.filter(({process}) => process !== undefined);
	}

	/** Starts an entry without a memory of what it knew before. */
	start(entry: DirectoryEntry): void {
		const process = this._createProcess(entry);
		entry.process = process;
		this._readList(entry, process);
	}

	kill(entry: DirectoryEntry): void {
		entry.process = undefined;
	}

	/** Stops an entry in order: it hands over what it knows, and leaves soon after. */
	stop(entry: DirectoryEntry): void {
		entry.process?.directory.handOver();
		this.at(20, () => {
			entry.process = undefined;
		});
	}

	begin(entry: DirectoryEntry, id: string, softwareVersion: string): void {
		const origin = {service: simulatedService, softwareVersion};
		entry.process!.directory.noteFirstEvent(id, origin, 15_000);
	}

	async resume(entry: DirectoryEntry, id: string): Promise<Resumption> {
		return entry.process!.directory.find({
			id,
			service: simulatedService,
			limitMs: 15_000,
		});
	}

	/** Runs a function after a time. */
	at(delayMs: number, run: () => void): void {
		const time = this.now + Math.max(1, Math.round(delayMs));
		const due = this._due.get(time) ?? [];
		this._due.set(time, due);
		due.push(run);
	}

	/** Lets time pass. */
	async run(milliseconds: number): Promise<void> {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now++;
			const due = this._due.get(this.now);
			this._due.delete(this.now);
			if (due !== undefined) {
				for (const run of due) {
					run();
				}

				// Lets the promises that have settled run before time goes on.
				// eslint-disable-next-line no-await-in-loop
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		}
	}

	private _createProcess(entry: DirectoryEntry): DirectoryProcess {
		const versions = SoftwareVersions.create();
		const isCurrent = () => entry.process === process;
		const process: DirectoryProcess = {
			versions,
			readAt: Number.NEGATIVE_INFINITY,
			directory: StreamDirectory.create({
				hostId: entry.id,
				clock: () => this.now,
				listedAt: () => process.readAt,
				origins: StreamOrigins.create(),
				versions,
				keepers: stream =>
					entry.topology
						.streamCandidates(stream)
						.filter(id => id !== entry.id)
						.map(id => ({id, endpoint: endpointOf(id), isLost: false})),
				send: (message, {host}) => {
					this._send(entry, message, host);
				},
				schedule: (run, delayMs) => {
					let isCancelled = false;
					this.at(delayMs, () => {
						if (!isCancelled && isCurrent()) {
							run();
						}
					});
					return () => {
						isCancelled = true;
					};
				},
				onQueryEnded: () => undefined,
			}),
		};
		return process;
	}

	private _send(
		sender: DirectoryEntry,
		message: GossipMessage,
		to: string,
	): void {
		const receiver = this.entries.find(({id}) => id === to)!;
		this.sent.bytes += JSON.stringify(message).length;
		this.sent.notes += message.type === 'streamNote' ? 1 : 0;
		this.sent.asks += message.type === 'streamAsk' ? 1 : 0;
		const isLost = this.random() < (this._options.lossRate ?? 0);
		if (!isLost && this.canPass(sender, receiver)) {
			this.at(this.random() * 20, () => {
				const {process} = receiver;
				if (process !== undefined) {
					receive(process.directory, message, endpointOf(sender.id));
				}
			});
		}
	}

	/** Reads the list at once and then at intervals, until the process ends. */
	private _readList(entry: DirectoryEntry, process: DirectoryProcess): void {
		if (entry.process !== process) {
			return;
		}

		if (!entry.isCutFromStore) {
			const records = this.listed.map(version => serverOf(version));
			process.versions.noteConfirmed(this.now - process.readAt, this.now);
			process.versions.update(records, this.now);
			process.readAt = this.now;
		}

		this.at(listIntervalMs * (0.8 + 0.4 * this.random()), () => {
			this._readList(entry, process);
		});
	}
}

function receive(
	directory: StreamDirectory,
	message: GossipMessage,
	from: Endpoint,
): void {
	switch (message.type) {
		case 'streamNote': {
			directory.onNote(message);
			break;
		}

		case 'streamAsk': {
			directory.onQuery(message, from);
			break;
		}

		case 'streamAnswer': {
			directory.onReply(message);
			break;
		}

		case 'entry':
		case 'quotaAsk':
		case 'quotaAnswer':
		case 'quotaReturn':
		case 'suspect':
		case 'partNote':
		case 'leaving':
		case 'demand':
		case 'turnAsk':
		case 'turnAnswer':
		case 'turnReturn':
		case 'turnTaken':
		case 'pace':
		case 'usageAck':
		case 'usageCounts':
		case 'usageDecision':
		case 'report': {
			break;
		}
	}
}

function endpointOf(id: string): Endpoint {
	return {host: id, port: 1};
}

/** Software version at which a stream goes on; undefined if it is refused. */
export function versionOf(resumption: Resumption): string | undefined {
	return resumption.kind === 'known'
		? resumption.origin.softwareVersion
		: undefined;
}

function serverOf(softwareVersion: string): ServerRecord {
	return {
		id: `server-${softwareVersion}`,
		service: simulatedService,
		address: '10.0.0.1:80',
		zone: 'zone-0',
		slots: 1,
		softwareVersion,
		isDraining: false,
		coldLeftMs: 0,
		models: [],
	};
}
