/** Content of a lease row. */
export type LeaseRecord = {
	/** Name of the host that holds the lease; undefined if it was released. */
	readonly holder: string | undefined;
	/** Identifies the write that took the lease. Names of hosts do not: a host may have restarted. */
	readonly claim: string;
	/** Fencing token. Absent in the row as the write that took the lease left it: the version of this write is the token. */
	readonly token?: number;
	/** Number of renewals, which tells whether one was written whose answer is lost. */
	readonly renewal: number;
	/** The holder before. */
	readonly previous?: string;
	/** Number of times that the lease was taken. */
	readonly changes: number;
	/**
	 * Era of the store in which the holder saw the version that it replaced by a released row. In another era, the release
	 * may have met the same version of a row that it was not meant for. Absent while the lease is held.
	 */
	readonly releasedIn?: number;
	/** `changes` at the last release by a holder that the platform did not answer. Absent some leases after it. */
	readonly cutOffAt?: number;
};

export function encodeLeaseRecord(record: LeaseRecord): string {
	return JSON.stringify(record);
}

/** Returns undefined for text that is no lease row. */
export function decodeLeaseRecord(text: string): LeaseRecord | undefined {
	const value = parseObject(text);
	const claim = value?.claim;
	if (value === undefined || typeof claim !== 'string') {
		return undefined;
	}

	const number = (name: string) => {
		const field = value[name];
		return typeof field === 'number' ? field : undefined;
	};

	const string = (name: string) => {
		const field = value[name];
		return typeof field === 'string' ? field : undefined;
	};

	const token = number('token');
	const previous = string('previous');
	const releasedIn = number('releasedIn');
	const cutOffAt = number('cutOffAt');
	return {
		holder: string('holder'),
		claim,
		...(token !== undefined && {token}),
		renewal: number('renewal') ?? 0,
		...(previous !== undefined && {previous}),
		changes: number('changes') ?? 0,
		...(releasedIn !== undefined && {releasedIn}),
		...(cutOffAt !== undefined && {cutOffAt}),
	};
}

function parseObject(
	text: string,
): Readonly<Record<string, unknown>> | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value))
		: undefined;
}
