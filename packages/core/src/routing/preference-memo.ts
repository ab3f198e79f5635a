import type {AgentHost} from '../membership/types.js';
import type {ServerGroup} from './server-directory.js';
import {alternateZones, topServers} from './top-servers.js';

type Remembered = {
	readonly group: ServerGroup;
	readonly servers: readonly AgentHost[];
};

/** Remembers the preferred servers of the subjects that were used last, as long as the group's members stay the same. */
export class PreferenceMemo {
	static create(maxSubjects: number, serversEach: number): PreferenceMemo {
		return new PreferenceMemo(maxSubjects, serversEach);
	}

	private readonly _remembered = new Map<string, Remembered>();

	private constructor(
		private readonly _maxSubjects: number,
		private readonly _serversEach: number,
	) {}

	get size(): number {
		return this._remembered.size;
	}

	/** Preferred servers of the group for the key, best first. */
	preferred(key: string, group: ServerGroup): readonly AgentHost[] {
		const memoKey = `${group.region}/${key}`;
		const known = this._remembered.get(memoKey);
		if (known?.group === group) {
			return known.servers;
		}

		const servers = alternateZones(
			topServers(key, group.members, this._serversEach),
		);
		this._remembered.delete(memoKey);
		this._remembered.set(memoKey, {group, servers});
		this._forgetOldest();
		return servers;
	}

	private _forgetOldest(): void {
		if (this._remembered.size <= this._maxSubjects) {
			return;
		}

		const [oldest] = this._remembered.keys();
		this._remembered.delete(oldest!);
	}
}
