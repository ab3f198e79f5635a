import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, configOf, routeOf, runScript} from '../lib/fleet.js';
import {Server} from '../lib/server.js';

/** Pieces of a server's answer and the pause between them, in milliseconds. */
const pieces = 20;
const pauseMs = 100;
const consumers = 6;

/** A piece of an answer: a line, or an event of a stream. */
const pieceOf = (path, id, number) =>
	path.startsWith('/draft/')
		? `id: ${number}\ndata: ${id} ${number} of ${pieces}\n\n`
		: `${id} line ${number} of ${pieces}\n`;
const wholeBody = (path, id) =>
	Array.from({length: pieces}, (_, i) => pieceOf(path, id, i + 1)).join('');

await runScript(import.meta.dirname, async ({fleet, record, hasTrouble}) => {
	/** Requests that the server has answered to the end. */
	const ended = new Set();
	const server = await Server.start({
		id: 'i-00000001',
		host: fleet.hostOf(31),
		port: 20_000,
		service: 'booking-desk',
		zone: 'z1',
		store: fleet.store,
		born: Date.now(),
		// The answer has no length and ends with its channel.
		async answer({req, url, id}) {
			const {socket} = req;
			socket.write(
				`HTTP/1.1 200 OK\r\nBalsamtray-Attempt-Id: ${id}\r\nBalsamtray-Server-Seal: seal.${id}\r\nContent-Type: ${url.startsWith('/draft/') ? 'text/event-stream' : 'text/plain'}\r\nConnection: close\r\n\r\n`,
			);
			for (let i = 1; i <= pieces && !socket.destroyed; i++) {
				socket.write(pieceOf(url, id, i));
				// eslint-disable-next-line no-await-in-loop
				await delay(pauseMs);
			}

			if (!socket.destroyed) {
				ended.add(id);
				socket.end();
			}
		},
	});
	fleet.add(server);
	fleet.store.put(
		'op',
		'config',
		configOf(1, {
			routes: [
				routeOf({
					name: 'stock-check',
					prefix: '/stock/',
					routeKind: 'idempotent',
					service: 'booking-desk',
					maxAttempts: 1,
				}),
				routeOf({
					name: 'agreement-draft',
					prefix: '/draft/',
					routeKind: 'streaming',
					service: 'booking-desk',
					maxAttempts: 1,
				}),
			],
			services: [{name: 'booking-desk', healthPath: '/health', maxConns: 100}],
		}),
	);
	fleet.startEntry(0, 'z1');
	await fleet.waitUntilReady(0);
	await delay(bounds.contactMs);

	const results = Array.from({length: consumers}, async (_, i) =>
		ask(fleet.frontOf(0), i % 2 === 0 ? '/stock/1' : '/draft/1', `a${i}`),
	);
	await delay((pieces * pauseMs) / 2);
	if (hasTrouble) {
		record.write(`${fleet.now()} ms: SIGKILL to the entry`);
		fleet.entry(0).child.kill('SIGKILL');
	}

	let broken = 0;
	for (const result of await Promise.all(results)) {
		const {id, path, status, body, end, hasLength} = result;
		const whole = wholeBody(path, id);
		const isWhole = body === whole;
		const isSeenAsComplete = status === 200 && end === 'closed' && !hasLength;
		record.write(
			`${id} ${path}: status ${status}, ${body.length} of ${whole.length} bytes, channel ${end}, ${hasLength ? 'with' : 'without'} a length or chunks, server had ${ended.has(id) ? '' : 'not '}ended its answer`,
		);
		broken += isSeenAsComplete && !isWhole ? 1 : 0;
		if (!hasTrouble && !isWhole) {
			throw new Error(`${id} has no whole answer without the disruption`);
		}
	}

	record.write(`${broken} answers ended early and look complete`);
	return broken > 0;
});

/** Sends a request and reads its answer as bytes, with how its channel ended. */
async function ask({host, port}, path, id) {
	return new Promise(resolve => {
		const socket = connect({host, port});
		let text = '';
		let end;
		socket.setEncoding('utf8');
		socket.write(
			`GET ${path} HTTP/1.1\r\nHost: a.example\r\nBalsamtray-Attempt-Id: ${id}\r\nBalsamtray-Deadline-Ms: 4000\r\n\r\n`,
		);
		socket.on('data', chunk => {
			text += chunk;
		});
		socket.once('end', () => {
			// Node.js reports data that arrives together with a reset as data and 'end'. The remote port is then unknown.
			end ??= socket.remotePort === undefined ? 'reset' : 'closed';
		});
		socket.once('error', () => {
			end = 'reset';
		});
		socket.once('close', () => {
			const [head, ...rest] = text.split('\r\n\r\n');
			resolve({
				id,
				path,
				status: Number(head.split(' ')[1] ?? 0),
				body: rest.join('\r\n\r\n'),
				end,
				hasLength: /^(?:content-length|transfer-encoding):/imv.test(head),
			});
		});
	});
}
