import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {newId, send} from '../lib-2/caller.js';
import {entryZones, keys, zones} from '../lib-2/deployment.js';
import {Fleet} from '../lib-2/fleet.js';
import {hasTrouble, main} from '../lib-2/record.js';
import {PlainServer} from '../lib-2/servers.js';

const contactMs = 3000;
/** Crashes after which the rule counts retries, and how many it allows. */
const crashesUntilBound = 3;
const maxRetries = 3;
/** Time for which a crashed server is away: "some seconds". */
const absentMs = 2500;
/** Pause of the caller between two tries of the same request. */
const pauseMs = 6000;
const tries = 9;
const lengthMs = 62_000;
/** With 1, a server that starts again has a new identifier, as most do. */
const hasNewIds = process.env.NEW_IDS === '1';

const crashingCall = {
	path: '/order/2f',
	method: 'POST',
	body: '{"order":"the one that crashes"}',
	key: keys.hule,
	deadlineMs: 1000,
};

async function play(record, toClose) {
	const fleet = await Fleet.open();
	toClose.push(fleet);
	const crashes = [];
	const arrivals = [];
	await startServers(fleet, {record, crashes, arrivals});
	for (const [i, zone] of entryZones.entries()) {
		fleet.startEntry(i, zone, true);
	}

	await fleet.untilReady(entryZones.keys());
	await delay(1500);
	const startedAt = Date.now();
	const ordinary = sendOrdinary(fleet, startedAt + lengthMs);
	await delay(3000);
	for (let i = 0; i < tries; i++) {
		// The caller is in the first zone, whose two entries it reaches in turn.
		// eslint-disable-next-line no-await-in-loop
		const res = await send(fleet.entryHost(i % 2), crashingCall);
		record.note(
			`try ${i + 1} at entry ${i % 2}: ${res.status} ${res.body.slice(0, 60)}`,
		);
		// eslint-disable-next-line no-await-in-loop
		await delay(pauseMs);
	}

	const served = await ordinary;
	record.note(
		`ordinary requests: ${served.answered} of ${served.sent} answered`,
	);
	const boundAt = (crashes[crashesUntilBound - 1] ?? Infinity) + contactMs;
	const late = arrivals.filter(at => at > boundAt).length;
	record.note(
		`${crashes.length} crashes; ${late} retries reached servers later than ${contactMs} ms after the third crash, ${maxRetries} are allowed`,
	);
	return late <= maxRetries;
}

function onError(error) {
	console.error(error);
}

async function startServers(fleet, {record, crashes, arrivals}) {
	for (const [i, zone] of zones.entries()) {
		const server = new PlainServer({
			fleet,
			id: `i-7f3a91c${i}`,
			host: fleet.host(61 + i),
			zone,
			service: 'dispatch',
			slots: 6,
		});
		server.crashesOn = (req, body) => {
			if (body !== crashingCall.body) {
				return false;
			}

			arrivals.push(Date.now());
			record.note(`the request reaches ${server.id} in ${zone}`);
			if (!hasTrouble) {
				return false;
			}

			crashes.push(Date.now());
			setTimeout(() => {
				if (hasNewIds) {
					fleet.store.remove('servers', server.id);
					server.id = `i-${newId().slice(0, 8)}`;
				}

				server.start().catch(onError);
				record.note(`${server.id} is back`);
			}, absentMs);
			return true;
		};

		// Servers start one after the other.
		// eslint-disable-next-line no-await-in-loop
		await server.start();
	}
}

/** Sends stock checks and orders at all entries, some 20 a second. */
async function sendOrdinary(fleet, endAt) {
	const pending = [];
	while (Date.now() < endAt) {
		const call =
			pending.length % 3 === 0
				? {path: '/check/7a', method: 'GET'}
				: {path: '/order/3c', body: `{"order":${pending.length}}`};
		const host = fleet.entryHost(pending.length % entryZones.length);

		pending.push(send(host, {...call, key: keys.fida, deadlineMs: 1000}));
		// eslint-disable-next-line no-await-in-loop
		await delay(50);
	}

	const responses = await Promise.all(pending);
	const answered = responses.filter(
		({status, isComplete}) => status === 200 && isComplete,
	).length;
	return {sent: responses.length, answered};
}

await main(import.meta.dirname, play);
