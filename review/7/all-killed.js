import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {newId, send} from '../lib-2/caller.js';
import {entryZones, keys, zones} from '../lib-2/deployment.js';
import {Fleet} from '../lib-2/fleet.js';
import {hasTrouble, main} from '../lib-2/record.js';
import {Engine} from '../lib-2/servers.js';

const contactMs = 3000;
const engineCount = 4;
const streamCount = 30;
const limitMs = 15_000;
/** Time from the begin of the streams until all entries are killed. */
const killAfterMs = 2000;
/** Time after which the platform starts a killed process again. */
const restartMs = 500;
/** Pauses of a caller before its next tries of a broken stream, in milliseconds. */
const pausesMs = [0, 1000, 3000, 1000, 1000];
/** Number of entries that are killed. */
const killed = Number(process.env.KILLED ?? entryZones.length);

async function play(record, toClose) {
	const fleet = await Fleet.open();
	toClose.push(fleet);
	await startEngines(fleet);
	for (const [i, zone] of entryZones.entries()) {
		fleet.startEntry(i, zone, true);
	}

	await fleet.untilReady(entryZones.keys());
	await delay(3000);
	const open = new Set();
	const first = Array.from({length: streamCount}, async (_, i) =>
		beginStream(fleet, i, open),
	);
	await delay(killAfterMs);
	const inTouchAt = await breakStreams(fleet, open, record);
	const callers = first.map(async (begun, i) =>
		takeUp(fleet, begun, {i, inTouchAt, record}),
	);
	await delay(Math.max(0, inTouchAt - Date.now()));
	const begun = await Promise.all(
		Array.from({length: streamCount}, async (_, i) => beginNew(fleet, i)),
	);
	const results = await Promise.all(callers);
	const takenUp = results.filter(Boolean);
	const wentOn = takenUp.filter(({hasGoneOn}) => hasGoneOn).length;
	const newShare = begun.filter(Boolean).length / begun.length;
	const onShare = wentOn / takenUp.length;
	record.note(
		`new streams that begin: ${begun.filter(Boolean).length} of ${begun.length}`,
	);
	record.note(
		`streams taken up at entries in touch that go on: ${wentOn} of ${takenUp.length}`,
	);
	if (takenUp.length < 12) {
		throw new Error('fewer than 12 streams were taken up');
	}

	return onShare >= newShare / 2;
}

/** All servers have the same software version. */
async function startEngines(fleet) {
	for (let i = 0; i < engineCount; i++) {
		const zone = zones[i % zones.length];
		const engine = new Engine({
			fleet,
			id: `i-5e21b0d${i}`,
			host: fleet.host(31 + i),
			zone,
		});
		engine.events = 60;
		engine.gapMs = 100;
		// Servers start one after the other.
		// eslint-disable-next-line no-await-in-loop
		await engine.start();
		fleet.startAgent(engine.host, zone);
	}
}

async function beginStream(fleet, i, open) {
	const startedAt = Date.now();
	const res = await send(fleet.entryHost(i % entryZones.length), {
		...streamOf(),
		deadlineMs: limitMs,
		onResponse(req) {
			open.add(req);
		},
	});
	return {...res, startedAt};
}

/** Breaks all streams: entries are killed, or, without the trouble, the callers' connections close. */
async function breakStreams(fleet, open, record) {
	record.note(`${open.size} streams are open`);
	if (!hasTrouble) {
		for (const req of open) {
			req.destroy();
		}

		return Date.now();
	}

	await Promise.all(
		Array.from({length: killed}, async (_, i) => fleet.killEntry(i)),
	);
	record.note(`${killed} entries are killed`);
	await delay(restartMs);
	for (let i = 0; i < killed; i++) {
		fleet.startEntry(i, entryZones[i], false);
	}

	record.note('they start again');
	return Date.now() + contactMs;
}

/**
 * Takes a broken stream up again, as callers do within their time limit. Resolves with whether it goes on at an entry in
 * touch; undefined if none was tried.
 */
async function takeUp(fleet, begun, {i, inTouchAt, record}) {
	const {id, events, startedAt} = await begun;
	const last = events.at(-1);
	if (last === undefined) {
		return undefined;
	}

	let result;
	const outcomes = [];
	for (const [n, pauseMs] of pausesMs.entries()) {
		// Tries follow each other.
		// eslint-disable-next-line no-await-in-loop
		await delay(pauseMs);
		const sentAt = Date.now();
		const leftMs = startedAt + limitMs - sentAt;
		if (leftMs <= 0) {
			break;
		}

		const host = fleet.entryHost((i + n + 1) % entryZones.length);
		// eslint-disable-next-line no-await-in-loop
		const res = await send(host, {
			...streamOf(),
			deadlineMs: leftMs,
			headers: {
				...streamOf().headers,
				'last-event-id': last.toString(),
				resumes: id,
			},
		});
		const hasGoneOn = res.status === 200 && res.events[0] === last + 1;
		outcomes.push(`${res.status}${res.status === 200 ? '' : ` ${res.body}`}`);
		if (sentAt >= inTouchAt) {
			result = {hasGoneOn: hasGoneOn || result?.hasGoneOn === true};
		}

		if (hasGoneOn) {
			break;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(1000 * Number(res.headers['retry-after'] ?? 0));
	}

	record.note(`stream ${i} after event ${last}: ${outcomes.join(', ')}`);
	return result;
}

async function beginNew(fleet, i) {
	const {events} = await send(fleet.entryHost(i % entryZones.length), {
		...streamOf(),
		deadlineMs: limitMs,
	});
	return events.length > 0;
}

function streamOf() {
	return {
		path: '/brief/2f',
		key: keys.hule,
		headers: {
			'balsamtray-model': 'm0',
			'balsamtray-token-counts': '400,80',
			'balsamtray-prompt-prefix': `5c1e07a2:150,${newId().slice(0, 8)}:250`,
		},
	};
}

await main(import.meta.dirname, play);
