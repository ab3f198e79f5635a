import type {Random} from '../common/random.js';
import type {ListFollower, ListRead} from './list-follower.testing.js';
import type {ServerChange, ServerNeed, ServerRecord} from './types.js';

/** Time of one step of a schedule, in milliseconds. */
export const stepMs = 10;

/** One start of a server. */
export type ServerProcess = {
	readonly id: string;
	readonly address: string;
	/** Undefined if the server does not tell its start. */
	readonly born: number | undefined;
	readonly softwareVersion: string;
	/** `Retry-After` of its answers in milliseconds, and until when it turns requests away. */
	rest: {readonly forMs: number; readonly until: number} | undefined;
	/** Whether its responses say that it is leaving. */
	isLeaving: boolean;
	/** Whether its row says that it is leaving. */
	isDraining: boolean;
	isAlive: boolean;
};

/** A request that reached a server. */
export type ScheduledArrival = {
	readonly entry: number;
	readonly process: ServerProcess;
	readonly at: number;
};

/** The servers' rows in a store that can come back from a copy. */
export class ScheduledList {
	private _era = 0;
	private _version = 0;
	private _history: Array<{readonly row: ServerChange; readonly at: number}> =
		[];

	put(record: ServerRecord, now: number): void {
		this._write(record.id, record, now);
	}

	/** Removes a row. One that can't be read has the same effect. */
	remove(id: string, now: number): void {
		this._write(id, undefined, now);
	}

	/** Goes back to an earlier time. Returns the servers whose last writes are lost. */
	rewind(depthMs: number, now: number): ReadonlySet<string> {
		const kept = this._history.filter(({at}) => at <= now - depthMs);
		const lost = new Set(
			this._history.slice(kept.length).map(({row: {id}}) => id),
		);
		this._history = kept;
		this._version = kept.at(-1)?.row.rowVersion ?? 0;
		this._era++;
		return lost;
	}

	read(after: number | undefined): ListRead | undefined {
		if (after !== undefined && after > this._version) {
			return undefined;
		}

		const rows = new Map(this._history.map(({row}) => [row.id, row]));
		return {
			rows: [...rows.values()].filter(({rowVersion, record}) =>
				after === undefined ? record !== undefined : rowVersion > after,
			),
			era: this._era,
			version: this._version,
		};
	}

	private _write(
		id: string,
		record: ServerRecord | undefined,
		now: number,
	): void {
		this._version++;
		this._history.push({
			row: {id, rowVersion: this._version, record},
			at: now,
		});
	}
}

/** Requests of entries to servers, and what the servers answer, in virtual time. */
export class ServerSchedule {
	readonly list = new ScheduledList();
	readonly arrivals: ScheduledArrival[] = [];
	/** Answers by which a server turned a request away for a time. */
	readonly rests: Array<ScheduledArrival & {readonly restMs: number}> = [];
	/** Answers that said that their server is leaving. */
	readonly leavings: ScheduledArrival[] = [];
	private readonly _processes = new Map<string, ServerProcess>();
	private readonly _due = new Map<number, Array<(now: number) => void>>();

	constructor(
		private readonly _entries: readonly ListFollower[],
		private readonly _random: Random,
	) {}

	get processes(): readonly ServerProcess[] {
		return [...this._processes.values()];
	}

	/** Random time between two bounds, in whole steps. */
	between(minMs: number, maxMs: number): number {
		return (
			stepMs * Math.round((minMs + this._random() * (maxMs - minMs)) / stepMs)
		);
	}

	at(time: number, run: (now: number) => void): void {
		const step = Math.round(time / stepMs);
		this._due.set(step, [...(this._due.get(step) ?? []), run]);
	}

	/** Starts a server and writes its row. Ends one that runs under its identifier. */
	start(
		process: Pick<ServerProcess, 'id' | 'address' | 'born'> &
			Partial<ServerProcess>,
		now: number,
	): ServerProcess {
		const known = this._processes.get(process.id);
		if (known !== undefined) {
			known.isAlive = false;
		}

		const started = {
			softwareVersion: 'v1',
			rest: undefined,
			isLeaving: false,
			isDraining: false,
			isAlive: true,
			...process,
		};
		this._processes.set(process.id, started);
		this.list.put(recordOf(started), now);
		return started;
	}

	drain(process: ServerProcess, now: number): void {
		process.isDraining = true;
		this.list.put(recordOf(process), now);
	}

	end(process: ServerProcess, now: number): void {
		process.isAlive = false;
		this.list.remove(process.id, now);
	}

	/** Removes a server's row and writes it again after a time. The server keeps serving. */
	flap(process: ServerProcess, forMs: number, now: number): void {
		this.list.remove(process.id, now);
		this.at(now + forMs, later => {
			if (process.isAlive) {
				this.list.put(recordOf(process), later);
			}
		});
	}

	/** Lets the store come back from a copy. The servers write lost rows again. */
	rewind(depthMs: number, now: number): void {
		for (const id of this.list.rewind(depthMs, now)) {
			this.at(now + this.between(stepMs, 1500), later => {
				const process = this._processes.get(id);
				if (process?.isAlive === true) {
					this.list.put(recordOf(process), later);
				} else {
					this.list.remove(id, later);
				}
			});
		}
	}

	/**
	 * Plays the schedule.
	 *
	 * @param readMs interval at which each entry reads the list
	 */
	play(untilMs: number, readMs: number): void {
		for (let now = 0; now < untilMs; now += stepMs) {
			const step = now / stepMs;
			for (const run of this._due.get(step) ?? []) {
				run(now);
			}

			this._due.delete(step);
			for (const [i, entry] of this._entries.entries()) {
				if ((now + i * stepMs * 7) % readMs === 0) {
					entry.read(this.list, now);
				}

				if (this._random() < 0.3) {
					this._send(i, now);
				}
			}
		}
	}

	private _send(i: number, now: number): void {
		const {fleet} = this._entries[i]!;
		const choice = fleet.choose(plainNeed, now);
		if (choice.kind !== 'send') {
			return;
		}

		const {server: id} = choice;
		const {address} = fleet.server(id)!.record;
		fleet.server(id)!.noteSent(undefined, now);
		this.at(now + this.between(0, 60), sendingAt => {
			if (!fleet.mayDispatch(id, sendingAt)) {
				fleet.server(id)?.noteEnded(undefined);
				return;
			}

			fleet.server(id)!.noteDispatched(sendingAt);
			this.at(sendingAt + stepMs, arrivedAt => {
				this._onArrival(i, id, address, arrivedAt);
			});
		});
	}

	private _onArrival(
		entry: number,
		id: string,
		address: string,
		now: number,
	): void {
		const {fleet} = this._entries[entry]!;
		const process = this._processes.get(id);
		if (process?.isAlive !== true || process.address !== address) {
			this.at(now + stepMs, later => {
				fleet.server(id)?.markSuspected(later);
				fleet.server(id)?.noteEnded(undefined);
			});
			return;
		}

		const arrival = {entry, process, at: now};
		this.arrivals.push(arrival);
		const {rest, isLeaving} = process;
		const restMs =
			rest !== undefined && now < rest.until ? rest.forMs : undefined;
		if (restMs !== undefined) {
			this.rests.push({...arrival, restMs});
		}

		const answerMs = restMs === undefined ? this.between(20, 300) : stepMs;
		this.at(now + answerMs, later => {
			if (isLeaving) {
				this.leavings.push({...arrival, at: later});
				fleet.noteLeaving(id, later);
			}

			if (restMs !== undefined) {
				fleet.noteSuspension(id, restMs, this._random(), later);
				fleet.server(id)?.markSuspected(later);
			}

			fleet.server(id)?.noteEnded(undefined);
		});
	}
}

export const plainNeed: ServerNeed = {
	service: 's',
	model: undefined,
	adapter: undefined,
	session: undefined,
	tokens: 0,
	promptTokens: 0,
	maxPromptWaitMs: 1000,
	tried: new Set(),
};

export function recordOf({
	id,
	address,
	born,
	softwareVersion,
	isDraining,
}: ServerProcess): ServerRecord {
	return {
		id,
		service: 's',
		address,
		zone: 'z',
		slots: 8,
		softwareVersion,
		isDraining,
		coldLeftMs: 0,
		models: [],
		...(born !== undefined && {born}),
	};
}
