import type {FleetStatus} from '@balsamtray/protocol';

/** Tells the configuration in force in words. */
export function describeConfig(status: FleetStatus): readonly string[] {
	return [
		`entry ${status.process}, environment ${status.environment}, ${status.isReady ? 'ready' : 'not ready'}`,
		`configuration version ${status.version}, document ${status.documentDigest === '' ? 'none' : status.documentDigest}`,
		`${status.customers} customers, ${status.adapters} adapters, ${status.routes} routes, ${status.keys} keys (${status.withdrawnKeys} withdrawn)`,
	];
}

/** Tells zones and servers in words. */
export function describeFleet(status: FleetStatus): readonly string[] {
	const zones = status.zones.map(
		zone =>
			`zone ${zone.zone} (region ${zone.region === '' ? 'unknown' : zone.region}) ${zone.isOut ? 'OUT' : 'in'}: ${zone.entries} entries, ${zone.agents} agents, ${zone.leaving} leaving`,
	);
	const drained = status.drainedServers.map(server => `drained ${server}`);
	return [...zones, ...drained];
}
