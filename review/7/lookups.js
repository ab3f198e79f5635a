import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {sendUntilAnswered} from '../lib-2/caller.js';
import {entryZones, keys, zones} from '../lib-2/deployment.js';
import {Fleet} from '../lib-2/fleet.js';
import {hasTrouble, main} from '../lib-2/record.js';
import {PlainServer} from '../lib-2/servers.js';

/** Times in which one server each resets a part of its requests, in milliseconds since the traffic began. */
const greyTimes = Array.from({length: 6}, (_, i) => ({
	server: i % 3,
	from: 3000 + 8500 * i,
	to: 9500 + 8500 * i,
}));
/** With HOW=idle, no server is grey: all drop idle channels without notice, and reset what is sent next. */
const isIdleCase = process.env.HOW === 'idle';
const idleMs = 2000;
/** Share of its requests that such a server resets. */
const greyShare = 0.4;
/** Time from which, and until which, requests are counted, when all has been calm for long. */
const countedFrom = 58_000;
const lengthMs = 83_000;
/** Kinds of request: pause between two of them in milliseconds, as many as on the sheet. */
const kinds = [
	{name: 'load-order', pauseMs: 1000 / 18.3},
	{name: 'pile-check', pauseMs: 1000 / 7.35},
];
/** Stock checks are all for the same pile. */
const pile = 'pier';
const limitMs = 1000;

async function play(record, toClose) {
	const fleet = await Fleet.open();
	toClose.push(fleet);
	const startedAt = {};
	await startServers(fleet, startedAt, record);
	for (const [i, zone] of entryZones.entries()) {
		fleet.startEntry(i, zone, true);
	}

	await fleet.untilReady(entryZones.keys());
	await delay(1500);
	startedAt.ms = Date.now();
	record.note('the traffic begins');
	const sent = await Promise.all(
		kinds.map(async kind => sendKind(fleet, kind, startedAt.ms, record)),
	);
	const shares = sent.map((requests, i) => {
		const counted = requests.filter(({at}) => at >= countedFrom);
		const answered = counted.filter(({isAnswered}) => isAnswered).length;
		record.note(
			`${kinds[i].name} from ${countedFrom} ms on: ${answered} of ${counted.length} answered`,
		);
		return {answered, sent: counted.length};
	});
	const all = {
		answered: shares[0].answered + shares[1].answered,
		sent: shares[0].sent + shares[1].sent,
	};
	return shares.every(
		({answered, sent}) => answered / sent >= all.answered / all.sent / 4,
	);
}

async function startServers(fleet, startedAt, record) {
	for (const [i, zone] of zones.entries()) {
		const server = new PlainServer({
			fleet,
			id: `i-7f3a91c${i}`,
			host: fleet.host(61 + i),
			zone,
			service: 'dispatch',
			slots: 6,
		});
		server.resets = req => {
			const ms = Date.now() - startedAt.ms;
			const isReset =
				hasTrouble &&
				!isIdleCase &&
				greyTimes.some(
					({server: grey, from, to}) => grey === i && ms >= from && ms < to,
				) &&
				Math.random() < greyShare;
			if (isReset) {
				record.note(`${server.id} resets ${req.url}`);
			}

			return isReset;
		};

		server.hasDropped = req => {
			const {idleSince = Infinity} = req.socket;
			const isDropped =
				hasTrouble && isIdleCase && Date.now() - idleSince > idleMs;
			if (isDropped) {
				record.note(`${server.id} has dropped the channel of ${req.url}`);
			}

			return isDropped;
		};

		// Servers start one after the other.
		// eslint-disable-next-line no-await-in-loop
		await server.start();
	}
}

/** Sends requests of one kind at all entries. Stock checks are all alike, orders differ. */
async function sendKind(fleet, {name, pauseMs}, startedAt, record) {
	const requests = [];
	const hosts = [...entryZones.keys()].map(i => fleet.entryHost(i));
	for (let i = 0; Date.now() < startedAt + lengthMs; i++) {
		const call =
			name === 'pile-check'
				? {path: `/check/${pile}`, method: 'GET'}
				: {path: '/order/3c', body: `{"order":${i}}`};
		requests.push(
			sendOne(
				[...hosts.slice(i % hosts.length), ...hosts.slice(0, i % hosts.length)],
				{...call, key: keys.hule},
				startedAt,
				record,
			),
		);
		// eslint-disable-next-line no-await-in-loop
		await delay(Math.max(0, startedAt + (i + 1) * pauseMs - Date.now()));
	}

	return Promise.all(requests);
}

async function sendOne(hosts, call, startedAt, record) {
	const at = Date.now() - startedAt;
	const tries = await sendUntilAnswered(hosts, call, {limitMs, maxTries: 2});
	const isAnswered = tries.at(-1).status === 200 && tries.at(-1).isComplete;
	if (!isAnswered) {
		const outcomes = tries.map(
			({status, body, headers}) =>
				`${status} ${body} ${headers['retry-after'] ?? ''}`,
		);
		record.note(`${call.path} sent at ${at}: ${outcomes.join(', ')}`);
	}

	return {at, isAnswered};
}

await main(import.meta.dirname, play);
