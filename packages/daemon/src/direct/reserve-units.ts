import type {CustomerRule} from '@balsamtray/core';
import {peerTimeoutMs} from './constants.js';
import type {EntryPeers, Reservation} from './entry-peers.js';

/**
 * Takes units of a customer's rate. Where no owner of the rate replies, a refused caller is to come back once a lost owner
 * is replaced, or at another entry if this one is cut off, and not all at once. When the small share without an owner is
 * filled again says nothing of that.
 *
 * @param random returns a random number in [0, 1)
 */
export async function reserveUnits(
	{
		peers,
		random,
	}: {
		readonly peers: Pick<EntryPeers, 'reserve'>;
		readonly random: () => number;
	},
	customer: CustomerRule,
	units: number,
): Promise<Reservation> {
	const reservation = await peers.reserve(customer, units);
	const {grant, owner} = reservation;
	return grant.kind === 'refused' && owner === undefined
		? {grant: {...grant, retryAfterMs: peerTimeoutMs * (1 + random())}, owner}
		: reservation;
}
