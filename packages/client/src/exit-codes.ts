/** Exit codes of `balsamtray`, listed in docs/operators/command-line.md. */
export const exitCodes = {
	success: 0,
	/** An answer was not as expected, or the fleet is unwell. */
	failure: 1,
	/** The command line, a setting or a document is wrong. */
	usage: 2,
	/** Another operator's change came first. */
	conflict: 3,
	/** No entry could be reached. */
	unreachable: 4,
	/** The operator's key is missing, wrong or of the wrong role. */
	unauthorized: 5,
	/** The store answered too late: whether the change was accepted is not known. */
	outcomeUnknown: 6,
} as const;
