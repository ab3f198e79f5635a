import {maxRememberedServers, stateRetentionMs} from './constants.js';
import type {ServerState} from './server-state.js';

/**
 * States of servers whose rows are gone. A row may come back while its server runs, and the limits on a cold server and
 * what was learned of it then still hold. Keeps each for `stateRetentionMs`, and the last `maxRememberedServers`.
 */
export class RetiredServers {
	static create(): RetiredServers {
		return new RetiredServers();
	}

	/** By server, in the order in which they were added. */
	private readonly _servers = new Map<
		string,
		{readonly server: ServerState; readonly retiredAt: number}
	>();

	private constructor() {}

	get size(): number {
		return this._servers.size;
	}

	add(server: ServerState, now: number): void {
		const {id} = server.record;
		this._servers.delete(id);
		this._servers.set(id, {server, retiredAt: now});
		for (const [oldest, {retiredAt}] of this._servers) {
			const isOver = now - retiredAt >= stateRetentionMs;
			if (!isOver && this._servers.size <= maxRememberedServers) {
				return;
			}

			this._servers.delete(oldest);
		}
	}

	/** Removes and returns the state of a server; undefined if none is kept. */
	take(id: string, now: number): ServerState | undefined {
		const retired = this._servers.get(id);
		this._servers.delete(id);
		return retired !== undefined && now - retired.retiredAt < stateRetentionMs
			? retired.server
			: undefined;
	}
}
