/** A call to the platform that only one process at a time may make. */
export type DutyCall = {
	readonly kind: 'usage';
	/** Number of the window. */
	readonly window: number;
	/** Requests that began to run in the window, by customer. */
	readonly counts: Readonly<Record<string, number>>;
};

/** Name of a duty. Each is elected on its own. */
export type DutyName = DutyCall['kind'];

/**
 * How a call ended: `accepted` by the platform, `rejected` by it, `unknown` if no response came, or `notSent`, since this
 * entry does not hold the lease.
 */
export type DutyOutcome = 'accepted' | 'rejected' | 'unknown' | 'notSent';

/** A row of the store, read by its key. */
export type KeyedRow = {readonly value: string; readonly version: number};

/** Result of reading one row. `row` is absent if there is none. */
export type RowRead = {readonly row?: KeyedRow; readonly era: number};

/** Result of a write that requires a version of the row. A conflict has the row as the store has it. */
export type RowWrite =
	| {
			readonly kind: 'written';
			readonly version: number;
			readonly era: number;
	  }
	| {
			readonly kind: 'conflict';
			readonly row?: KeyedRow;
			readonly era: number;
	  };
