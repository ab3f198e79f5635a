/** An attempt with a part was interrupted at a start of a server before its answer had gone on. */
export type PartEnd = {
	/** Key of the part, `SERVICE/PARTID`. */
	readonly part: string;
	/** One life of a server, `SERVERID@BORN`. */
	readonly start: string;
	/** Monotonic time, in milliseconds. */
	readonly at: number;
};

/** The evidence on one part, with ages in milliseconds instead of times of one entry's clock. */
export type PartSuspectEntry = {
	readonly part: string;
	readonly ends: ReadonlyArray<{
		readonly start: string;
		readonly agoMs: number;
	}>;
	/** Age of the beginning of the newest answer that went on. */
	readonly clearedAgoMs?: number;
	readonly trials: number;
	readonly trialAgoMs?: number;
};

export type PartVerdict =
	| {readonly kind: 'allowed'}
	/** May be sent as the only request with the part. `startTrial` must be called with the send. */
	| {readonly kind: 'trial'; readonly part: string}
	| {
			readonly kind: 'quarantined';
			readonly part: string;
			readonly retryAfterMs: number;
	  };

export type PartCheckOptions = {
	/** Whether this request was already interrupted at a server. */
	readonly isRepeat: boolean;
	/** Returns whether this entry is the one that starts trials of the part. */
	readonly isOwner: (part: string) => boolean;
};
