import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {ConfigChange} from '@balsamtray/core';
import {
	createPeerServer,
	listen,
	PeerConfigClient,
	Transport,
} from '@balsamtray/daemon';
import type {ConfigAnswer} from '@balsamtray/protocol';
import {adapterOf} from './example-state.js';

const callTimeoutMs = 5000;
const pulledChangeCount = 100;

/** Packets of a TCP connection that carries one call, each with 52 bytes of IP and TCP headers. */
const tcpBytesPerCall = 10 * 52;

/** Bytes of one call and its answer on a connection of its own, headers of IP and TCP included. */
export type WireMeasure = {
	readonly bytesPerExchange: number;
	/** A pull that brings one change. */
	readonly bytesPerPull: number;
	/** Each further change of a pull. */
	readonly bytesPerChange: number;
};

/** Counts the bytes of the daemon's own calls on a loopback connection. */
export async function measureWire(): Promise<WireMeasure> {
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
	return {
		bytesPerExchange: exchange + tcpBytesPerCall,
		bytesPerPull: pullOne + tcpBytesPerCall,
		bytesPerChange: Math.round((pullMany - pullOne) / (pulledChangeCount - 1)),
	};
}

type Call = (client: PeerConfigClient, address: string) => Promise<unknown>;

async function bytesOfCall(
	answer: readonly ConfigChange[],
	call: Call,
): Promise<number> {
	const transport = Transport.create(undefined);
	const app = await createServer(transport, {
		kind: 'changes',
		changes: answer,
	});
	const sockets: Socket[] = [];
	app.server.on('connection', (socket: Socket) => {
		sockets.push(socket);
	});
	const url = await listen(app, {address: '127.0.0.1', port: 0});
	const client = PeerConfigClient.create({
		id: 'process-12345',
		peerUrl: address => transport.peerUrl(address),
		peerDispatcher: () => transport.peerDispatcher(),
		exchangeTimeoutMs: callTimeoutMs,
		pullTimeoutMs: callTimeoutMs,
	});
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

async function createServer(transport: Transport, answer: ConfigAnswer) {
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
				seeVersion: () => undefined,
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
