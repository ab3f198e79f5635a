/** An entry as the members table lists it. */
export type Member = {
	readonly id: string;
	/** Availability zone; empty if the row does not state it. */
	readonly zone: string;
};

/** Whether an entry is considered lost, by the heartbeats that this entry hears. */
export type IsLost = (id: string) => boolean;
