/** Outcomes of attempts that are taken back from their servers, by reason. */
export const recallOutcomes = {
	adapterOutdated: 'recalled: adapter version outdated',
	quarantined: 'recalled: quarantined',
	serverDeparting: 'moved: server is taken away',
} as const;
