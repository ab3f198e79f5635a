/** Exit codes of `balsamtray`, listed in docs/operators/command-line.md. */
export const exitCodes = {
	success: 0,
	/** The command failed or was declined, or the entry is not ready. */
	failure: 1,
	/** The command line, a setting or a document is invalid. */
	usage: 2,
	/** The change conflicts with one that another operator made first. */
	conflict: 3,
	/** The entry or the store is unreachable. */
	unreachable: 4,
	/** The operator's key is missing or invalid, or its role does not permit the call. */
	unauthorized: 5,
	/** The store timed out: it is unknown whether the change was accepted. */
	outcomeUnknown: 6,
} as const;
