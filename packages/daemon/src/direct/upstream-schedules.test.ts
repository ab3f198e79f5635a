import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {Upstream, type UpstreamCall} from './upstream.js';

/** A response as its server sends it. */
type Schedule = {
	readonly framing: 'length' | 'chunks' | 'connection';
	readonly parts: readonly string[];
	/** Pause of the server after each part, in milliseconds. */
	readonly gapMs: number;
	/** How it ends: whole, or before its last part by a close or a reset. */
	readonly end: 'whole' | 'close' | 'reset';
	/** Whether the connection of a whole response is closed at once. */
	readonly isClosed: boolean;
	/** Pause of the reader after each chunk, in milliseconds; 0 for none. */
	readonly pauseMs: number;
};

const schedules: fc.Arbitrary<Schedule> = fc.record({
	framing: fc.constantFrom('length', 'chunks', 'connection'),
	parts: fc.array(
		fc.string({minLength: 1, maxLength: 40, unit: 'grapheme-ascii'}),
		{
			minLength: 1,
			maxLength: 6,
		},
	),
	gapMs: fc.integer({min: 0, max: 3}),
	end: fc.constantFrom('whole', 'close', 'reset'),
	isClosed: fc.boolean(),
	pauseMs: fc.constantFrom(0, 0, 1, 5),
});

let server: Server;
let address: string;
const pending: Schedule[] = [];

async function respond(socket: Socket, schedule: Schedule): Promise<void> {
	const {framing, parts, gapMs, end, isClosed} = schedule;
	const isWhole = end === 'whole';
	const heads = {
		length: `Content-Length: ${parts.join('').length}\r\n`,
		chunks: 'Transfer-Encoding: chunked\r\n',
		connection: '',
	};
	socket.write(`HTTP/1.1 200 OK\r\n${heads[framing]}\r\n`);
	for (const part of isWhole ? parts : parts.slice(0, -1)) {
		// Parts are sent in order.
		// eslint-disable-next-line no-await-in-loop
		await delay(gapMs);
		socket.write(
			framing === 'chunks'
				? `${part.length.toString(16)}\r\n${part}\r\n`
				: part,
		);
	}

	if (isWhole && framing === 'chunks') {
		socket.write('0\r\n\r\n');
	}

	if (end === 'reset') {
		// The last bytes arrive first, as bytes that a reset overtakes are lost.
		await delay(10);
		socket.resetAndDestroy();
	} else if (!isWhole || framing === 'connection' || isClosed) {
		socket.end();
	}
}

async function receive(
	upstream: Upstream,
	{pauseMs}: Schedule,
): Promise<{readonly body: string; readonly end: 'end' | 'error'}> {
	let body = '';
	return new Promise(resolve => {
		const call: UpstreamCall = upstream.send(
			{
				server: 's',
				address,
				maxConnections: 1,
				method: 'POST',
				path: '/',
				headers: [],
				body: new Uint8Array(1),
			},
			{
				onSending: () => true,
				onHeaders: () => undefined,
				onData(chunk) {
					body += chunk.toString();
					if (pauseMs > 0) {
						setTimeout(() => {
							call.resume();
						}, pauseMs);
					}

					return pauseMs === 0;
				},
				onEnd() {
					resolve({body, end: 'end'});
				},
				onError() {
					resolve({body, end: 'error'});
				},
			},
		);
	});
}

describe('Upstream, over schedules of a server and its reader', () => {
	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				void respond(socket, pending.shift()!);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const bound = server.address();
		assert.ok(bound !== null && typeof bound === 'object');
		address = `127.0.0.1:${bound.port}`;
	});

	after(() => {
		server.close();
	});

	// Guards against an end of a connection being taken for the end of a response, or the other way round, at any pause.
	it('reports exactly the responses as complete that are, with the whole body', async () => {
		await fc.assert(
			fc.asyncProperty(
				fc.array(schedules, {minLength: 1, maxLength: 3}),
				async series => {
					let upstream = Upstream.create();
					for (const schedule of series) {
						pending.push(schedule);
						// The responses follow each other, on one connection where it stays open.
						// eslint-disable-next-line no-await-in-loop
						const {body, end} = await receive(upstream, schedule);
						const whole = schedule.parts.join('');
						const sent =
							schedule.end === 'whole'
								? whole
								: schedule.parts.slice(0, -1).join('');
						const isComplete =
							schedule.end === 'whole' ||
							(schedule.framing === 'connection' && schedule.end === 'close');
						assert.equal(end, isComplete ? 'end' : 'error');
						assert.ok(sent.startsWith(body));
						if (isComplete) {
							assert.equal(body, sent);
						}

						if (schedule.isClosed) {
							// The next request could meet the close on its way, which is no end of its response.
							upstream.keepOnly(new Set());
							upstream = Upstream.create();
						}
					}

					upstream.keepOnly(new Set());
				},
			),
			{numRuns: 150, seed: 25},
		);
	});
});
