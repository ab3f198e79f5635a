import {setTimeout as delay} from 'node:timers/promises';
import {newId, send} from '../lib-2/caller.js';
import {entryZones, keys, zones} from '../lib-2/deployment.js';
import {Fleet} from '../lib-2/fleet.js';
import {hasTrouble, main} from '../lib-2/record.js';
import {Engine} from '../lib-2/servers.js';

const engineCount = 5;
const streamCount = 100;
const newCount = 30;
const limitMs = 15_000;
/** Pause between two callers' first tries, in milliseconds. */
const beginPauseMs = 8;
/** Times at which one model server each crashes, in milliseconds since the first stream began. */
const crashTimes = [2500, 5000, 7500];
/** Time for which a crashed server is away. */
const absentMs = 2300;
/** Pause between two short streams, which run all the while. */
const shortPauseMs = 40;
const shortBeforeMs = 6000;
/** Time at which new streams are sent, for comparison. */
const newAt = 6000;
/** Pauses of a caller before its tries of a broken stream, in milliseconds. */
const pausesMs = [200, 500, 1000, 1000];

async function play(record, toClose) {
	const fleet = await Fleet.open();
	toClose.push(fleet);
	const engines = await startEngines(fleet);
	for (const [i, zone] of entryZones.entries()) {
		fleet.startEntry(i, zone, true);
	}

	await fleet.untilReady(entryZones.keys());
	await delay(3000);
	const background = {isOver: false};
	const shortEnded = sendShort(fleet, background);
	await delay(shortBeforeMs);
	const startedAt = Date.now();
	const crashes = crashInTurn(engines, startedAt, record);
	const streams = [];
	for (let i = 0; i < streamCount; i++) {
		streams.push(runStream(fleet, i, record));
		// eslint-disable-next-line no-await-in-loop
		await delay(beginPauseMs);
	}

	await delay(startedAt + newAt - Date.now());
	const begun = await Promise.all(
		Array.from({length: newCount}, async (_, i) => beginNew(fleet, i)),
	);
	const results = await Promise.all(streams);
	background.isOver = true;
	await shortEnded;
	await crashes;
	const takenUp = results.filter(Boolean);
	const wentOn = takenUp.filter(({hasGoneOn}) => hasGoneOn).length;
	const beginning = begun.filter(Boolean).length;
	record.note(`new streams that begin: ${beginning} of ${begun.length}`);
	record.note(
		`streams taken up that go on: ${wentOn} of ${takenUp.length}; ${results.length - takenUp.length} were not broken for their callers`,
	);
	if (hasTrouble && takenUp.length < 12) {
		throw new Error('fewer than 12 streams were taken up');
	}

	return (
		takenUp.length < 12 ||
		wentOn / takenUp.length >= beginning / begun.length / 2
	);
}

/** Sends short streams, whose callers don't take them up again. */
async function sendShort(fleet, background) {
	const pending = [];
	while (!background.isOver) {
		const i = pending.length;
		const call = streamOf(`short ${i}`);
		pending.push(
			send(fleet.entryHost(i % entryZones.length), {
				...call,
				key: keys.fida,
				deadlineMs: 8000,
				headers: {...call.headers, 'x-events': '5'},
			}),
		);
		// eslint-disable-next-line no-await-in-loop
		await delay(shortPauseMs);
	}

	await Promise.all(pending);
}

/** All servers have the same software version. */
async function startEngines(fleet) {
	const engines = Array.from(
		{length: engineCount},
		(_, i) =>
			new Engine({
				fleet,
				id: `i-5e21b0d${i}`,
				host: fleet.host(31 + i),
				zone: zones[i % zones.length],
			}),
	);
	for (const engine of engines) {
		engine.events = 90;
		engine.gapMs = 100;
		// Servers start one after the other.
		// eslint-disable-next-line no-await-in-loop
		await engine.start();
		fleet.startAgent(engine.host, engine.zone);
	}

	return engines;
}

/** Crashes one server after the other. Each comes back under a new identifier. */
async function crashInTurn(engines, startedAt, record) {
	if (!hasTrouble) {
		return;
	}

	await Promise.all(
		crashTimes.map(async (ms, i) => {
			await delay(startedAt + ms - Date.now());
			const engine = engines[i];
			record.note(`${engine.id} crashes under ${engine.running} streams`);
			engine.crash();
			await delay(absentMs);
			engine.fleet.store.remove('servers', engine.id);
			engine.id = `i-${newId().slice(0, 8)}`;
			await engine.start();
			record.note(`it is back as ${engine.id}`);
		}),
	);
}

/**
 * Runs a stream, and takes it up again if it breaks, as callers do within their time limit. Resolves with whether it went on;
 * undefined if it did not break, or before its first event.
 */
async function runStream(fleet, i, record) {
	const endAt = Date.now() + limitMs;
	const call = streamOf(i);
	const first = await send(fleet.entryHost(i % entryZones.length), {
		...call,
		deadlineMs: limitMs,
	});
	const last = first.events.at(-1);
	if (first.isComplete || last === undefined) {
		return undefined;
	}

	const outcomes = [];
	for (const [n, pauseMs] of pausesMs.entries()) {
		// Tries follow each other.
		// eslint-disable-next-line no-await-in-loop
		await delay(pauseMs);
		const leftMs = endAt - Date.now();
		if (leftMs <= 0) {
			break;
		}

		const host = fleet.entryHost((i + n + 1) % entryZones.length);
		// eslint-disable-next-line no-await-in-loop
		const res = await send(host, {
			...call,
			deadlineMs: leftMs,
			headers: {
				...call.headers,
				'last-event-id': last.toString(),
				resumes: first.id,
			},
		});
		outcomes.push(
			`${res.status}${res.status === 200 ? '' : ` ${res.body} ${res.headers['retry-after'] ?? ''}`}`,
		);
		if (res.status === 200 && res.events[0] === last + 1) {
			record.note(`stream ${i} after event ${last}: ${outcomes.join(', ')}`);
			return {hasGoneOn: true};
		}
	}

	record.note(`stream ${i} after event ${last}: ${outcomes.join(', ')}`);
	return outcomes.length === 0 ? undefined : {hasGoneOn: false};
}

async function beginNew(fleet, i) {
	const {events} = await send(fleet.entryHost(i % entryZones.length), {
		...streamOf(streamCount + i),
		deadlineMs: limitMs,
	});
	return events.length > 0;
}

/** Each caller's prompt is its own. */
function streamOf(i) {
	return {
		path: '/brief/2f',
		key: keys.hule,
		body: `{"prompt":"of caller ${i}"}`,
		headers: {
			'balsamtray-model': 'm0',
			'balsamtray-token-counts': '400,80',
			'balsamtray-prompt-prefix': `5c1e07a2:150,${newId().slice(0, 8)}:250`,
		},
	};
}

await main(import.meta.dirname, play);
