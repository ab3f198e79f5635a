import {hashString} from '../common/rendezvous.js';
import type {AgentHost, BackendKind, Host} from '../membership/types.js';

/** A server with its hash for rendezvous hashing. */
export type DirectoryEntry = {
	readonly host: AgentHost;
	readonly hash: number;
};

/** Live servers of one backend kind in one region. The object is replaced whenever its members change. */
export type ServerGroup = {
	readonly region: string;
	readonly members: readonly DirectoryEntry[];
};

/** The live backend servers of the platform's host list, grouped by backend and region. */
export class ServerDirectory {
	static create(): ServerDirectory {
		return new ServerDirectory();
	}

	private _entries: ReadonlyMap<string, DirectoryEntry> = new Map();
	private _groups: ReadonlyMap<string, readonly ServerGroup[]> = new Map();

	/** Replaces the host list. Groups whose members are unchanged keep their object identity. */
	update(hosts: readonly Host[]): void {
		const entries = new Map<string, DirectoryEntry>();
		const members = new Map<string, Map<string, DirectoryEntry[]>>();
		for (const host of hosts) {
			if (host.role === 'agent' && host.state === 'live') {
				const entry = this._entryOf(host);
				entries.set(host.id, entry);
				addMember(members, entry);
			}
		}

		this._groups = this._reuseUnchanged(members);
		this._entries = entries;
	}

	server(id: string): AgentHost | undefined {
		return this._entries.get(id)?.host;
	}

	/** Groups of servers that run the backend, one per region. */
	groups(backend: BackendKind): readonly ServerGroup[] {
		return this._groups.get(backendKey(backend)) ?? [];
	}

	/** Identifiers of all live servers. */
	ids(): Iterable<string> {
		return this._entries.keys();
	}

	private _entryOf(host: AgentHost): DirectoryEntry {
		const known = this._entries.get(host.id);
		if (known !== undefined && isSameHost(known.host, host)) {
			return known;
		}

		return {host, hash: hashString(host.id)};
	}

	private _reuseUnchanged(
		members: ReadonlyMap<
			string,
			ReadonlyMap<string, readonly DirectoryEntry[]>
		>,
	): ReadonlyMap<string, readonly ServerGroup[]> {
		const groups = new Map<string, readonly ServerGroup[]>();
		for (const [key, regions] of members) {
			const previous = this._groups.get(key) ?? [];
			groups.set(
				key,
				[...regions].map(
					([region, entries]) =>
						previous.find(
							group =>
								group.region === region && isSameList(group.members, entries),
						) ?? {region, members: entries},
				),
			);
		}

		return groups;
	}
}

/** Key of the servers that run the backend. */
export function backendKey(backend: BackendKind): string {
	return backend.kind === 'engine'
		? `engine:${backend.baseModel}`
		: `service:${backend.service}`;
}

function addMember(
	members: Map<string, Map<string, DirectoryEntry[]>>,
	entry: DirectoryEntry,
): void {
	const key = backendKey(entry.host.backend);
	const regions = members.get(key) ?? new Map<string, DirectoryEntry[]>();
	members.set(key, regions);
	const list = regions.get(entry.host.region);
	if (list === undefined) {
		regions.set(entry.host.region, [entry]);
	} else {
		list.push(entry);
	}
}

function isSameHost(a: AgentHost, b: AgentHost): boolean {
	return (
		a.zone === b.zone &&
		a.region === b.region &&
		a.peerAddress === b.peerAddress &&
		backendKey(a.backend) === backendKey(b.backend)
	);
}

function isSameList(
	a: readonly DirectoryEntry[],
	b: readonly DirectoryEntry[],
): boolean {
	return a.length === b.length && a.every((entry, i) => entry === b[i]);
}
