import {adapterKey} from '../authority/authority-view.js';
import {maxSlotUtilization} from '../placement/constants.js';
import type {ServerState} from '../placement/server-state.js';
import type {ServerOffer} from './waiting-request.js';

/** Returns what a server can do for waiting requests, as far as this entry knows. */
export function offerOfServer(server: ServerState, now: number): ServerOffer {
	const {service, slots} = server.record;
	const {report} = server;
	if (report === undefined || !server.hasFreshReport(now)) {
		// Only the choice of a server knows how many requests a plain service takes.
		return {service, adapters: [], room: Number.POSITIVE_INFINITY};
	}

	return {
		service,
		adapters: report.models.flatMap(({name, adapters}) =>
			Object.keys(adapters).map(adapter => adapterKey(name, adapter)),
		),
		room: Math.max(
			0,
			Math.ceil(slots * maxSlotUtilization - server.requestCount(now)),
		),
	};
}
