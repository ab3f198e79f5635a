import type {BackendRecord} from '@balsamtray/standins';
import type {Fleet} from '../harness/fleet.js';

/** Requests that the backends of a fleet received and ran, as the stand-ins recorded them. */
export class BackendRecords {
	/** Reads the records of all backends. */
	static async create(fleet: Fleet): Promise<BackendRecords> {
		const records = await Promise.all(
			fleet.backends.map(
				async ({daemon, standin}) =>
					[daemon.id, await standin.record()] as const,
			),
		);
		return new BackendRecords(new Map(records));
	}

	/** Records by backend ID. */
	readonly byBackend: ReadonlyMap<string, BackendRecord>;
	private readonly _runsByRef: ReadonlyMap<string, number>;

	private constructor(records: ReadonlyMap<string, BackendRecord>) {
		this.byBackend = records;
		this._runsByRef = sumRunsByRef([...records.values()]);
	}

	/** Returns how many times calls with the reference were started, over all backends. */
	countRuns(ref: string): number {
		return this._runsByRef.get(ref) ?? 0;
	}

	/** Sums one count over all backends. */
	sumCounts(countOf: (record: BackendRecord) => number): number {
		return [...this.byBackend.values()].reduce(
			(sum, record) => sum + countOf(record),
			0,
		);
	}
}

function sumRunsByRef(
	records: readonly BackendRecord[],
): ReadonlyMap<string, number> {
	const runs = new Map<string, number>();
	for (const {runsByRef} of records) {
		for (const [ref, count] of Object.entries(runsByRef)) {
			runs.set(ref, (runs.get(ref) ?? 0) + count);
		}
	}

	return runs;
}
