import type {ServerState} from '@balsamtray/core';
import type {EventLog} from './event-log.js';

type ServerDescription = {
	readonly state: string;
	readonly softwareVersion: string | undefined;
};

/** Logs each server that joins, changes state or leaves. */
export class ServerLog {
	/** @param suspendedForMs returns for how long a server wants no requests, listed or not */
	static create(
		log: EventLog,
		suspendedForMs: (server: string) => number,
	): ServerLog {
		return new ServerLog(log, suspendedForMs);
	}

	private _states: ReadonlyMap<string, ServerDescription> = new Map();

	private constructor(
		private readonly _log: EventLog,
		private readonly _suspendedForMs: (server: string) => number,
	) {}

	/** @param servers all known servers */
	update(servers: Iterable<ServerState>): void {
		const previous = this._states;
		this._states = new Map(
			[...servers].map(server => [server.record.id, describeServer(server)]),
		);
		for (const [id, {state, softwareVersion}] of this._states) {
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
					...this._suspensionOf(id),
				});
			}
		}

		for (const id of previous.keys()) {
			if (!this._states.has(id)) {
				this._log.write({
					event: 'serverChanged',
					server: id,
					state: 'gone',
					...this._suspensionOf(id),
				});
			}
		}
	}

	private _suspensionOf(id: string): {readonly suspendedForMs?: number} {
		const suspendedForMs = Math.round(this._suspendedForMs(id));
		return suspendedForMs > 0 ? {suspendedForMs} : {};
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
