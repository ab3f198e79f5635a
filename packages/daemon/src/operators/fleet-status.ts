import type {ConfigState, Host} from '@balsamtray/core';
import type {FleetStatus, ZoneStatus} from '@balsamtray/protocol';

/** State of one entry that its fleet status is created from. */
export type FleetStatusInput = {
	/** Identifier of the entry. */
	readonly process: string;
	readonly environment: string;
	readonly isReady: boolean;
	readonly state: ConfigState;
	readonly hosts: readonly Host[];
};

/** Summarizes the fleet as one entry sees it. */
export function createFleetStatus(input: FleetStatusInput): FleetStatus {
	const {process, environment, isReady, state, hosts} = input;
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
