import type {ConfigState, Host} from '@balsamtray/core';
import type {FleetStatus, ZoneStatus} from '@balsamtray/protocol';

/** What one entry knows, to be told to operators. */
export type FleetKnowledge = {
	readonly process: string;
	readonly environment: string;
	readonly isReady: boolean;
	readonly state: ConfigState;
	readonly hosts: readonly Host[];
};

/** Sums up what one entry knows of the fleet. */
export function fleetStatus(known: FleetKnowledge): FleetStatus {
	const {process, environment, isReady, state, hosts} = known;
	const snapshot = state.toSnapshot();
	return {
		process,
		environment,
		isReady,
		version: state.version,
		documentDigest: state.documentDigest,
		customers: snapshot.customers.length,
		adapters: snapshot.adapters.length,
		routes: snapshot.routes.length,
		keys: snapshot.keys.length,
		withdrawnKeys: snapshot.withdrawnKeyIds.length,
		drainedServers: snapshot.drainedServers,
		zones: zoneStatuses(state, hosts),
	};
}

function zoneStatuses(
	state: ConfigState,
	hosts: readonly Host[],
): readonly ZoneStatus[] {
	const zones = new Set([...hosts.map(({zone}) => zone), ...state.zonesOut()]);
	return [...zones].toSorted().map(zone => {
		const inZone = hosts.filter(host => host.zone === zone);
		return {
			zone,
			region: inZone[0]?.region ?? '',
			isOut: state.isZoneOut(zone),
			entries: inZone.filter(({role}) => role === 'entry').length,
			agents: inZone.filter(({role}) => role === 'agent').length,
			leaving: inZone.filter(host => host.state === 'leaving').length,
		};
	});
}
