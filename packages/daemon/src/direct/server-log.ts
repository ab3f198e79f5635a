import type {ServerState} from '@balsamtray/core';
import type {EventLog} from './event-log.js';

type ServerDescription = {
	readonly state: string;
	readonly softwareVersion: string | undefined;
};

export type ServerLogOptions = {
	readonly isLeaving: (server: string) => boolean;
	/** Returns for how long a server wants no requests, listed or not. */
	readonly suspendedForMs: (server: string) => number;
};

/** Logs each server that joins, changes state or leaves. */
export class ServerLog {
	static create(log: EventLog, options: ServerLogOptions): ServerLog {
		return new ServerLog(log, options);
	}

	private _states: ReadonlyMap<string, ServerDescription> = new Map();

	private constructor(
		private readonly _log: EventLog,
		private readonly _options: ServerLogOptions,
	) {}

	/** @param servers all known servers */
	update(servers: Iterable<ServerState>): void {
		const previous = this._states;
		this._states = new Map(
			[...servers].map(server => [server.record.id, this._describe(server)]),
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
		const suspendedForMs = Math.round(this._options.suspendedForMs(id));
		return suspendedForMs > 0 ? {suspendedForMs} : {};
	}

	private _describe(server: ServerState): ServerDescription {
		const {softwareVersion} = server.record;
		return {state: this._stateOf(server), softwareVersion};
	}

	private _stateOf({record, vanishedAt}: ServerState): string {
		if (vanishedAt !== undefined) {
			return 'vanished';
		}

		if (record.isDraining) {
			return 'draining';
		}

		return this._options.isLeaving(record.id) ? 'leaving' : 'ready';
	}
}
