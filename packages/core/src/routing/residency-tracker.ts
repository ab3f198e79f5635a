import type {AdapterState} from '../agent/types.js';

type SubjectRecord = {
	/** Number of this entry's dispatches in flight. */
	demand: number;
	/** State of the adapter by server, least recently updated first. Absent adapters have no entry. */
	readonly states: Map<string, AdapterState>;
};

/**
 * Tracks the last known state of adapter versions on servers, and the number of this entry's dispatches in flight
 * for each. Keeps the most recently used subjects and evicts the least recently used one without dispatches in flight.
 */
export class ResidencyTracker {
	static create(
		maxSubjects: number,
		maxServersPerSubject: number,
	): ResidencyTracker {
		return new ResidencyTracker(maxSubjects, maxServersPerSubject);
	}

	private readonly _subjects = new Map<string, SubjectRecord>();

	private constructor(
		private readonly _maxSubjects: number,
		private readonly _maxServersPerSubject: number,
	) {}

	get size(): number {
		return this._subjects.size;
	}

	state(subject: string, server: string): AdapterState {
		return this._subjects.get(subject)?.states.get(server) ?? 'absent';
	}

	demand(subject: string): number {
		return this._subjects.get(subject)?.demand ?? 0;
	}

	/** Records a dispatch. If the adapter is not resident, the dispatch makes the server load it. */
	noteDispatch(subject: string, server: string): void {
		const record = this._getOrCreate(subject);
		record.demand++;
		if (record.states.get(server) !== 'resident') {
			this._setState(record, server, 'loading');
		}
	}

	noteEnd(subject: string): void {
		const record = this._subjects.get(subject);
		if (record !== undefined && record.demand > 0) {
			record.demand--;
		}
	}

	noteState(subject: string, server: string, state: AdapterState): void {
		this._setState(this._getOrCreate(subject), server, state);
	}

	private _setState(
		record: SubjectRecord,
		server: string,
		state: AdapterState,
	): void {
		record.states.delete(server);
		if (state === 'absent') {
			return;
		}

		record.states.set(server, state);
		if (record.states.size > this._maxServersPerSubject) {
			const [oldest] = record.states.keys();
			record.states.delete(oldest!);
		}
	}

	private _getOrCreate(subject: string): SubjectRecord {
		const known = this._subjects.get(subject);
		const record = known ?? {
			demand: 0,
			states: new Map<string, AdapterState>(),
		};
		// Reinserts the record, so that the map is ordered by last use.
		this._subjects.delete(subject);
		this._subjects.set(subject, record);
		if (known === undefined) {
			this._evictOldest();
		}

		return record;
	}

	private _evictOldest(): void {
		if (this._subjects.size <= this._maxSubjects) {
			return;
		}

		for (const [subject, record] of this._subjects) {
			if (record.demand === 0) {
				this._subjects.delete(subject);
				return;
			}
		}
	}
}
