import type {AgentHost} from '../membership/types.js';
import type {ServerGroup} from './server-directory.js';
import {interleaveZones, topServers} from './top-servers.js';

type CachedPreference = {
	readonly group: ServerGroup;
	readonly servers: readonly AgentHost[];
};

/** Caches the preferred servers of recently computed subjects. An entry is valid while the group's members are unchanged. */
export class PreferenceCache {
	static create(maxSubjects: number, serversEach: number): PreferenceCache {
		return new PreferenceCache(maxSubjects, serversEach);
	}

	private readonly _cache = new Map<string, CachedPreference>();

	private constructor(
		private readonly _maxSubjects: number,
		private readonly _serversEach: number,
	) {}

	get size(): number {
		return this._cache.size;
	}

	/** Returns the preferred servers of the group for the key, best first. */
	preferred(key: string, group: ServerGroup): readonly AgentHost[] {
		const cacheKey = `${group.region}/${key}`;
		const known = this._cache.get(cacheKey);
		if (known?.group === group) {
			return known.servers;
		}

		const servers = interleaveZones(
			topServers(key, group.members, this._serversEach),
		);
		this._cache.delete(cacheKey);
		this._cache.set(cacheKey, {group, servers});
		this._evictOldest();
		return servers;
	}

	private _evictOldest(): void {
		if (this._cache.size <= this._maxSubjects) {
			return;
		}

		const [oldest] = this._cache.keys();
		this._cache.delete(oldest!);
	}
}
