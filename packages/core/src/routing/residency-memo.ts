import type {AdapterState} from '../agent/types.js';

type SubjectRecord = {
	demand: number;
	readonly states: Map<string, AdapterState>;
};

/** Where adapter versions were last seen, and how many own dispatches want each. It keeps the subjects used last. */
export class ResidencyMemo {
	static create(maxSubjects: number, serversEach: number): ResidencyMemo {
		return new ResidencyMemo(maxSubjects, serversEach);
	}

	private readonly _subjects = new Map<string, SubjectRecord>();

	private constructor(
		private readonly _maxSubjects: number,
		private readonly _serversEach: number,
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

	/** A dispatch makes the server load what it lacks. */
	noteDispatch(subject: string, server: string): void {
		const record = this._take(subject);
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
		this._setState(this._take(subject), server, state);
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
		if (record.states.size > this._serversEach) {
			const [oldest] = record.states.keys();
			record.states.delete(oldest!);
		}
	}

	private _take(subject: string): SubjectRecord {
		const known = this._subjects.get(subject);
		const record = known ?? {
			demand: 0,
			states: new Map<string, AdapterState>(),
		};
		// The map is kept in the order of use.
		this._subjects.delete(subject);
		this._subjects.set(subject, record);
		if (known === undefined) {
			this._forgetOldest();
		}

		return record;
	}

	private _forgetOldest(): void {
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
