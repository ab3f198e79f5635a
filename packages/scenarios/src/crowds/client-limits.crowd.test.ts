import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	chunkedBody,
	ClientCrowd,
	repeated,
	sendAll,
	type ClientBytes,
} from '@balsamtray/standins';
import {Fleet, type FleetEntry} from '../harness/fleet.js';
import {waitUntil} from '../harness/wait-until.js';
import {
	createScenarioDocument,
	scenarioBaseModel,
	scenarioService,
} from '../support/scenario-document.js';

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;

/** Memory of an entry's host, from the sheets of saltline and pcm-tray, in bytes. */
const hostBytes = 350e6;

/** Heap limit of an entry in the deployment's command, in megabytes. */
const heapMb = 200;

/** Descriptors of an entry's host, from the same sheets. */
const maxDescriptors = 4100;

/** Default of `BALSAMTRAY_BODY_LIMIT_BYTES`. */
const maxBodyBytes = 4 * mebibyte;

/** Largest body of an operator's call, which the pages state. */
const maxDocumentBytes = 64 * mebibyte;

/** Time until an ordinary request must have been answered, in milliseconds. Only a process that hangs takes that long. */
const maxAnswerMs = 60_000;

describe(
	'clients of a stand-alone entry that do not keep to the limits',
	{concurrency: false},
	() => {
		let fleet: Fleet;
		let entry: FleetEntry;
		let key = '';

		const connectTo = (url: string) => (): Socket => {
			const {hostname, port} = new URL(url);
			return connect({host: hostname, port: Number(port)});
		};

		/** Sends an ordinary request, again as long as it is refused, until it is served. */
		const serveOrdinary = async () => {
			const caller = fleet.caller('entry-1', key);
			const endAt = Date.now() + maxAnswerMs;
			let last: unknown;
			while (Date.now() < endAt && entry.daemon.isRunning) {
				// One request after the other.
				// eslint-disable-next-line no-await-in-loop
				const {status, error} = await caller.call({
					method: 'POST',
					path: '/services/stock-checks/pile',
					body: '{}',
				});
				if (status === 200) {
					return;
				}

				last = status ?? error;
				// eslint-disable-next-line no-await-in-loop
				await delay(200);
			}

			assert.fail(`an ordinary request was not served: ${String(last)}`);
		};

		const assertWithinBounds = () => {
			const {child} = entry.daemon;
			assert.ok(child.isRunning, 'the entry has ended');
			const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
			const line = status.split('\n').find(text => text.startsWith('VmHWM:'));
			const peak = 1024 * Number(/\d+/v.exec(line ?? '')?.[0]);
			assert.ok(!Number.isNaN(peak), 'the entry has ended');
			assert.ok(
				peak < hostBytes,
				`the entry had ${Math.round(peak / 1e6)} MB of ${hostBytes / 1e6}`,
			);
			const {length} = readdirSync(`/proc/${child.pid}/fd`);
			assert.ok(length < maxDescriptors, `the entry has ${length} descriptors`);
		};

		const playCrowd = async (
			url: string,
			clients: number,
			bytesOf: (index: number) => ClientBytes,
		) => {
			const crowd = ClientCrowd.open(connectTo(url), clients, bytesOf);
			await crowd.settle();
			assertWithinBounds();
			crowd.close();
			await serveOrdinary();
			assertWithinBounds();
		};

		const head = (path: string, fields: readonly string[]) =>
			Buffer.from(
				[
					`POST ${path} HTTP/1.1`,
					'Host: a.example',
					'Content-Type: application/json',
					...fields,
					'\r\n',
				].join('\r\n'),
			);

		const chunkedField = 'Transfer-Encoding: chunked';
		const keyField = () => `Authorization: Bearer ${key}`;
		const servicePath = '/services/stock-checks/crowd';
		const operatorPath = '/trpc/applyDocument';

		const start = async (serviceFlags: readonly string[]) => {
			fleet = await Fleet.create({
				entries: [
					{
						id: 'entry-1',
						zone: 'z1',
						env: {NODE_OPTIONS: `--max-old-space-size=${heapMb}`},
					},
				],
				backends: [
					{
						id: 'engine-1',
						zone: 'z1',
						backend: {kind: 'engine', baseModel: scenarioBaseModel},
					},
					{
						id: 'service-1',
						zone: 'z1',
						backend: {kind: 'service', service: scenarioService},
						flags: serviceFlags,
					},
				],
			});
			entry = fleet.entry('entry-1');
			await fleet.applyDocument(createScenarioDocument());
			({secret: key} = await fleet.issueKey('lakeshore'));
			await serveOrdinary();
		};

		beforeEach(async () => {
			await start([]);
		});

		afterEach(async () => {
			await fleet.stop();
		});

		it('stand-alone: serves one request inside the limits in chunks of one byte', async () => {
			const socket = connectTo(entry.url)();
			let response = '';
			socket.setEncoding('utf8');
			socket.on('error', () => undefined);
			socket.on('data', (text: string) => {
				response += text;
			});
			await sendAll(socket, [
				head(servicePath, [keyField(), chunkedField]),
				...chunkedBody(maxBodyBytes - 16, 1),
				Buffer.from('0\r\n\r\n'),
			]);
			await waitUntil(
				'the request is answered',
				maxAnswerMs,
				() => response !== '' || socket.closed,
			);
			socket.destroy();
			assertWithinBounds();
			assert.match(response, /^HTTP\/1\.1 200 /v);
			await serveOrdinary();
			assertWithinBounds();
		});

		it('stand-alone: bears bodies in chunks of one byte that stop short of their end', async () => {
			await playCrowd(entry.url, 4, function* () {
				yield head(servicePath, [keyField(), chunkedField]);
				yield* chunkedBody(maxBodyBytes - 16, 1);
			});
		});

		it('stand-alone: bears bodies in large chunks without a key that stop short of their end', async () => {
			await playCrowd(entry.url, 150, function* () {
				yield head(servicePath, [chunkedField]);
				yield* chunkedBody(maxBodyBytes - 1, 64 * kibibyte);
			});
		});

		it('stand-alone: bears bodies with a key that stop short of their end', async () => {
			await playCrowd(entry.url, 150, function* () {
				const field = `Content-Length: ${maxBodyBytes}`;
				yield head(servicePath, [keyField(), field]);
				yield* repeated('x', maxBodyBytes - 1);
			});
		});

		it('stand-alone: bears operators’ calls without a key in chunks of one byte', async () => {
			await playCrowd(entry.operatorUrl, 4, function* () {
				yield head(operatorPath, [chunkedField]);
				yield* chunkedBody(maxBodyBytes, 1);
			});
		});

		it('stand-alone: bears operators’ calls without a key in large chunks', async () => {
			await playCrowd(entry.operatorUrl, 10, function* () {
				yield head(operatorPath, [chunkedField]);
				yield* chunkedBody(maxDocumentBytes - 1, 64 * kibibyte);
			});
		});

		it('stand-alone: bears bodies in chunks of one byte behind a request that runs, with an unknown expectation', async () => {
			await fleet.stop();
			await start(['--service-ms', '3000']);
			await playCrowd(entry.url, 100, function* () {
				yield head(servicePath, [keyField(), 'Content-Length: 0']);
				yield head(servicePath, [keyField(), 'Expect: tea', chunkedField]);
				yield* chunkedBody(maxBodyBytes - 16, 1);
			});
		});

		it('stand-alone: bears bodies in chunks of one byte behind a request that runs, without a host', async () => {
			await fleet.stop();
			await start(['--service-ms', '3000']);
			await playCrowd(entry.url, 100, function* () {
				yield head(servicePath, [keyField(), 'Content-Length: 0']);
				yield Buffer.from(`POST / HTTP/1.1\r\n${chunkedField}\r\n\r\n`);
				yield* chunkedBody(maxBodyBytes - 16, 1);
			});
		});

		it('stand-alone: bears bodies in chunks of one byte behind a request that runs, for a malformed path', async () => {
			await fleet.stop();
			await start(['--service-ms', '3000']);
			await playCrowd(entry.url, 100, function* () {
				yield head(servicePath, [keyField(), 'Content-Length: 0']);
				yield head('/services/%', [keyField(), chunkedField]);
				yield* chunkedBody(maxBodyBytes - 16, 1);
			});
		});

		it('stand-alone: bears heads that do not end', async () => {
			await playCrowd(entry.url, 2500, function* () {
				yield head(servicePath, ['X-Long: ']).subarray(0, -4);
				yield* repeated('X-Field: abcdefg\r\n', 3 * kibibyte);
			});
		});

		it('stand-alone: bears pipelined requests with bodies', async () => {
			const body = 'x'.repeat(64 * kibibyte);
			await playCrowd(entry.url, 20, function* () {
				for (let i = 0; i < 256; i++) {
					const field = `Content-Length: ${body.length}`;
					yield head(servicePath, [keyField(), field]);
					yield Buffer.from(body);
				}
			});
		});
	},
);
