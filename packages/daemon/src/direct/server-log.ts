import type {ServerState} from '@balsamtray/core';
import type {EventLog} from './event-log.js';

type ServerDescription = {
	readonly state: string;
	readonly softwareVersion: string | undefined;
	readonly server: ServerState;
};

/** Logs each server that joins, changes state or leaves. */
export class ServerLog {
	static create(log: EventLog): ServerLog {
		return new ServerLog(log);
	}

	private _states: ReadonlyMap<string, ServerDescription> = new Map();

	private constructor(private readonly _log: EventLog) {}

	/** @param servers all known servers */
	update(servers: Iterable<ServerState>, now: number): void {
		const previous = this._states;
		this._states = new Map(
			[...servers].map(server => [server.record.id, describeServer(server)]),
		);
		for (const [id, {state, softwareVersion, server}] of this._states) {
			const before = previous.get(id);
			if (
				before?.state !== state ||
				before.softwareVersion !== softwareVersion
			) {
				this._log.write({
					event: 'serverChanged',
					server: id,
					state,
					...(softwareVersion !== undefined && {softwareVersion}),
					...suspensionOf(server, now),
				});
			}
		}

		for (const [id, {server}] of previous) {
			if (!this._states.has(id)) {
				this._log.write({
					event: 'serverChanged',
					server: id,
					state: 'gone',
					...suspensionOf(server, now),
				});
			}
		}
	}
}

function describeServer(server: ServerState): ServerDescription {
	const {softwareVersion} = server.record;
	return {state: stateOf(server), softwareVersion, server};
}

function suspensionOf(
	server: ServerState,
	now: number,
): {readonly suspendedForMs?: number} {
	const suspendedForMs = Math.round(server.suspendedForMs(now));
	return suspendedForMs > 0 ? {suspendedForMs} : {};
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
