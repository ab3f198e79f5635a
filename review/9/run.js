import {setTimeout as delay} from 'node:timers/promises';
import {newId, send} from '../lib-2/caller.js';
import {configOf, entryZones, keys, zones} from '../lib-2/deployment.js';
import {Fleet} from '../lib-2/fleet.js';
import {hasTrouble, main} from '../lib-2/record.js';
import {PlainServer} from '../lib-2/servers.js';

const revokeMs = 5000;
/** Time from the ack of the configuration without the key until the store comes back from a copy. */
const drillAfterMs = 4000;
/** Age of the copy. */
const copyAgeMs = 5000;
/** Time from then until the operator and the servers have written again what they wrote since the copy. */
const rewriteMs = 2500;
/** Time from the drill until a machine is added. */
const addAfterMs = 200;
const lengthMs = 6000;
const withdrawnKey = 'p7w31xq9d4hz8n5t2rbm';

async function play(record, toClose) {
	const fleet = await Fleet.open({tenants: tenantsWith([withdrawnKey])});
	toClose.push(fleet);
	const servers = await startServers(fleet);
	for (const [i, zone] of entryZones.entries()) {
		fleet.startEntry(i, zone, true);
	}

	await fleet.untilReady(entryZones.keys());
	await delay(copyAgeMs);
	const [before] = await callAll(fleet, entryZones.length);
	record.note(`with the key, before: ${before.status}`);
	fleet.store.put('op', 'config', configOf(2, {tenants: tenantsWith([])}));
	const ackAt = Date.now();
	record.note('ack of the configuration without the key');
	await delay(drillAfterMs);
	if (hasTrouble) {
		const writeAgain = fleet.store.loseWritesSince(copyAgeMs);
		record.note('the store comes back from a copy');
		setTimeout(() => {
			writeAgain();
			record.note('the operator and the servers have written again');
		}, rewriteMs);
	}

	await delay(addAfterMs);
	const added = entryZones.length;
	fleet.startEntry(added, zones[2], false);
	await fleet.untilReady([added]);
	record.note('the machine that was added is ready');
	const late = await callUntil(fleet, ackAt, record);
	const ran = servers
		.flatMap(({arrivals}) => arrivals)
		.filter(({id}) => late.has(id));
	for (const {id, tenant} of ran) {
		record.note(`run: ${id} of entry ${late.get(id)}, tenant ${tenant}`);
	}

	record.note(
		`${ran.length} of ${late.size} requests with the key ran that were sent later than ${revokeMs} ms after the ack`,
	);
	return ran.length === 0;
}

function tenantsWith(others) {
	const [first, ...rest] = configOf(1).tenants;
	return [{...first, apiKeys: [keys.hule, ...others]}, ...rest];
}

async function startServers(fleet) {
	const servers = zones.map(
		(zone, i) =>
			new PlainServer({
				fleet,
				id: `i-7f3a91c${i}`,
				host: fleet.host(61 + i),
				zone,
				service: 'dispatch',
				slots: 6,
			}),
	);
	await Promise.all(servers.map(async server => server.start()));
	return servers;
}

/** Sends a request with the withdrawn key to each entry. */
async function callAll(fleet, count) {
	return Promise.all(
		Array.from({length: count}, async (_, i) => {
			const id = newId();
			const sentAt = Date.now();
			const res = await send(fleet.entryHost(i), {
				path: '/check/7a',
				method: 'GET',
				key: withdrawnKey,
				id,
				deadlineMs: 1000,
			});
			return {...res, entry: i, sentAt};
		}),
	);
}

/** Resolves with the entries of the requests that were sent later than `revokeMs` after the ack, by identifier. */
async function callUntil(fleet, ackAt, record) {
	const late = new Map();
	while (Date.now() < ackAt + revokeMs + lengthMs) {
		// One round follows the other.
		// eslint-disable-next-line no-await-in-loop
		const responses = await callAll(fleet, entryZones.length + 1);
		record.note(
			`answers of the entries: ${responses.map(({status}) => status).join(' ')}`,
		);
		for (const {id, entry, sentAt} of responses) {
			if (sentAt > ackAt + revokeMs) {
				late.set(id, entry);
			}
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(100);
	}

	return late;
}

await main(import.meta.dirname, play);
