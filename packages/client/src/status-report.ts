import type {FleetStatus} from '@balsamtray/protocol';

/** Describes an entry and its configuration in force, one string per line. */
export function describeConfig(status: FleetStatus): readonly string[] {
	return [
		`entry ${status.process}, environment ${status.environment}, ${status.isReady ? 'ready' : 'not ready'}`,
		`configuration version ${status.version}, document ${status.documentDigest === '' ? 'none' : status.documentDigest}`,
		`${status.customers} customers, ${status.adapters} adapters, ${status.routes} routes, ${status.keys} keys (${status.withdrawnKeys} withdrawn)`,
	];
}

/** Describes the zones and the drained servers, one string per line. */
export function describeFleet(status: FleetStatus): readonly string[] {
	const zones = status.zones.map(
		zone =>
			`zone ${zone.zone} (region ${zone.region === '' ? 'unknown' : zone.region}) ${zone.isOut ? 'OUT' : 'in'}: ${zone.entries} entries, ${zone.agents} agents, ${zone.leaving} leaving`,
	);
	const drained = status.drainedServers.map(server => `drained ${server}`);
	return [...zones, ...drained];
}
