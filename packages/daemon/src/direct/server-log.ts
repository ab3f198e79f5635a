import type {ServerState} from '@balsamtray/core';
import type {EventLog} from './event-log.js';

/** Logs each server that joins, changes state or leaves. */
export class ServerLog {
	static create(log: EventLog): ServerLog {
		return new ServerLog(log);
	}

	private _states: ReadonlyMap<string, string> = new Map();

	private constructor(private readonly _log: EventLog) {}

	/** @param servers all known servers */
	update(servers: Iterable<ServerState>): void {
		const previous = this._states;
		this._states = new Map(
			[...servers].map(server => [server.record.id, stateOf(server)]),
		);
		for (const [server, state] of this._states) {
			if (previous.get(server) !== state) {
				this._log.write({event: 'serverChanged', server, state});
			}
		}

		for (const server of previous.keys()) {
			if (!this._states.has(server)) {
				this._log.write({event: 'serverChanged', server, state: 'gone'});
			}
		}
	}
}

function stateOf({record, vanishedAt, isLeaving}: ServerState): string {
	if (vanishedAt !== undefined) {
		return 'vanished';
	}

	if (record.isDraining) {
		return 'draining';
	}

	return isLeaving ? 'leaving' : 'ready';
}
