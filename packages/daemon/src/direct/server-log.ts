import type {ServerState} from '@balsamtray/core';
import type {EventLog} from './event-log.js';

type ServerDescription = {
	readonly state: string;
	readonly softwareVersion: string | undefined;
};

/** Logs each server that joins, changes state or leaves. */
export class ServerLog {
	static create(log: EventLog): ServerLog {
		return new ServerLog(log);
	}

	private _states: ReadonlyMap<string, ServerDescription> = new Map();

	private constructor(private readonly _log: EventLog) {}

	/** @param servers all known servers */
	update(servers: Iterable<ServerState>): void {
		const previous = this._states;
		this._states = new Map(
			[...servers].map(server => [server.record.id, describeServer(server)]),
		);
		for (const [server, {state, softwareVersion}] of this._states) {
			const before = previous.get(server);
			if (
				before?.state !== state ||
				before.softwareVersion !== softwareVersion
			) {
				this._log.write({
					event: 'serverChanged',
					server,
					state,
					...(softwareVersion !== undefined && {softwareVersion}),
				});
			}
		}

		for (const server of previous.keys()) {
			if (!this._states.has(server)) {
				this._log.write({event: 'serverChanged', server, state: 'gone'});
			}
		}
	}
}

function describeServer(server: ServerState): ServerDescription {
	const {softwareVersion} = server.record;
	return {state: stateOf(server), softwareVersion};
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
