import type {BackendRecord} from '@balsamtray/standins';
import type {Fleet} from '../harness/fleet.js';

/** What the back ends of a fleet really ran. */
export class GroundTruth {
	/** Reads the records of all back ends. */
	static async create(fleet: Fleet): Promise<GroundTruth> {
		const records = await Promise.all(
			fleet.backends.map(
				async ({daemon, standin}) =>
					[daemon.id, await standin.record()] as const,
			),
		);
		return new GroundTruth(new Map(records));
	}

	readonly records: ReadonlyMap<string, BackendRecord>;
	private readonly _runs: ReadonlyMap<string, number>;

	private constructor(records: ReadonlyMap<string, BackendRecord>) {
		this.records = records;
		this._runs = sumRuns([...records.values()]);
	}

	/** Times that a call with the reference was begun on any back end. */
	runsOf(ref: string): number {
		return this._runs.get(ref) ?? 0;
	}

	/** Sum of one count over all back ends. */
	total(countOf: (record: BackendRecord) => number): number {
		return [...this.records.values()].reduce(
			(sum, record) => sum + countOf(record),
			0,
		);
	}
}

function sumRuns(
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
