import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import type {ConfigChange} from '@balsamtray/core';
import {
	createPeerServer,
	listen,
	PeerConfigClient,
	Transport,
} from '@balsamtray/daemon';
import type {ConfigResponse} from '@balsamtray/protocol';
import {adapterOf} from './example-state.js';

const callTimeoutMs = 5000;
const pulledChangeCount = 100;
const warmUpCount = 2000;
const exchangeCount = 1000;

/** Bytes of the headers of IP and TCP in one packet. */
const packetHeaderBytes = 52;
/** Packets of one call on an open connection: request, response and acknowledgement. */
const packetsPerCall = 3;
/** Packets that open and close one connection. */
const packetsPerConnection = 7;

/** Bytes and CPU time of calls between processes, including IP and TCP headers. */
export type WireMeasurement = {
	readonly bytesPerExchange: number;
	/** Bytes of a pull that returns one change. */
	readonly bytesPerPull: number;
	/** Bytes of each further change in a pull. */
	readonly bytesPerChange: number;
	/** Additional bytes of a new connection. */
	readonly bytesPerConnection: number;
	/** CPU time of an exchange on an open connection, summed over both ends. */
	readonly cpuMicrosecondsPerExchange: number;
	/** Additional CPU time of a new connection, summed over both ends. */
	readonly cpuMicrosecondsPerConnection: number;
};

/** Measures the daemon's own peer calls over loopback connections. */
export async function measureWire(): Promise<WireMeasurement> {
	const exchange = await bytesOfCall([], async (client, address) =>
		client.exchangeVersion(address, 1_000_000),
	);
	const pullOne = await bytesOfCall(changes(1), async (client, address) =>
		client.changesAfter(address, 1_000_000),
	);
	const pullMany = await bytesOfCall(
		changes(pulledChangeCount),
		async (client, address) => client.changesAfter(address, 1_000_000),
	);
	const openConnection = await cpuOfExchange(() => '127.0.0.1');
	const newConnection = await cpuOfExchange(i => loopbackAddress(i));
	return {
		bytesPerExchange: exchange + packetsPerCall * packetHeaderBytes,
		bytesPerPull: pullOne + packetsPerCall * packetHeaderBytes,
		bytesPerChange: Math.round((pullMany - pullOne) / (pulledChangeCount - 1)),
		bytesPerConnection: packetsPerConnection * packetHeaderBytes,
		cpuMicrosecondsPerExchange: openConnection,
		cpuMicrosecondsPerConnection: Math.max(0, newConnection - openConnection),
	};
}

/** Returns the CPU time of an exchange in microseconds. Each new address makes a call open a new connection. */
async function cpuOfExchange(
	addressOf: (i: number) => string,
): Promise<number> {
	const transport = Transport.create(undefined);
	const app = await createServer(transport, {kind: 'changes', changes: []});
	const url = await listen(app, {address: '0.0.0.0', port: 0});
	const {port} = new URL(url);
	const client = createClient(transport);
	let startedAt = process.cpuUsage();
	for (let i = 0; i < warmUpCount + exchangeCount; i++) {
		if (i === warmUpCount) {
			startedAt = process.cpuUsage();
		}

		// Sequential calls, as in a process that makes few of them.
		// eslint-disable-next-line no-await-in-loop
		await client.exchangeVersion(`${addressOf(i)}:${port}`, 1);
	}

	const {user, system} = process.cpuUsage(startedAt);
	transport.dispose();
	await app.close();
	return Math.round((user + system) / exchangeCount);
}

function loopbackAddress(i: number): string {
	const lastPart = 2 + (i % 250);
	return `127.0.${Math.floor(i / 250)}.${lastPart}`;
}

type Call = (client: PeerConfigClient, address: string) => Promise<unknown>;

async function bytesOfCall(
	changesToServe: readonly ConfigChange[],
	call: Call,
): Promise<number> {
	const transport = Transport.create(undefined);
	const app = await createServer(transport, {
		kind: 'changes',
		changes: changesToServe,
	});
	const sockets: Socket[] = [];
	app.server.on('connection', (socket: Socket) => {
		sockets.push(socket);
	});
	const url = await listen(app, {address: '127.0.0.1', port: 0});
	const client = createClient(transport);
	await call(client, new URL(url).host);
	const closed = sockets.map(async socket => once(socket, 'close'));
	transport.dispose();
	await Promise.all(closed);
	await app.close();
	return sockets.reduce(
		(sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten,
		0,
	);
}

function createClient(transport: Transport): PeerConfigClient {
	return PeerConfigClient.create({
		id: 'process-12345',
		peerUrl: address => transport.peerUrl(address),
		peerDispatcher: () => transport.peerDispatcher(),
		exchangeTimeoutMs: callTimeoutMs,
		pullTimeoutMs: callTimeoutMs,
	});
}

async function createServer(transport: Transport, answer: ConfigResponse) {
	return createPeerServer({
		transport,
		isReady: () => true,
		context: {
			identity: () => ({
				id: 'process-54321',
				role: 'agent',
				zone: 'zone-1',
				incarnation: 'incarnation',
				configVersion: 1_000_000,
			}),
			config: {
				notePeerVersion: () => undefined,
				answerAfter: () => answer,
			},
		},
	});
}

function changes(count: number): readonly ConfigChange[] {
	return Array.from({length: count}, (_, i) => ({
		version: 1_000_001 + i,
		changeId: '6a0e2e6e-52a5-4c39-9a43-6c0f5d2f0f5e',
		author: 'operator',
		writtenAt: 1_800_000_000_000,
		summary: 'document 012345678901: 1 added or changed, 0 deleted',
		ops: [
			{op: 'putAdapter', adapter: adapterOf(i)},
			{op: 'setDocumentDigest', digest: '0'.repeat(64)},
		],
	}));
}
