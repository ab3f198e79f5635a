/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the fake agent trusts the entry under test */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {
	ClaimResult,
	ConfigSnapshot,
	ConfigView,
	Credential,
	Dispatch,
	Host,
	RecordedOutcome,
	ServerStatus,
} from '@balsamtray/core';
import {
	callHeader,
	decodeHeader,
	dispatchHeader,
	encodeHeader,
	endTrailer,
	replyHeader,
	type DispatchCall,
	type DispatchReply,
} from '@balsamtray/protocol';
import fastify, {type FastifyInstance} from 'fastify';
import {Agent} from 'undici';
import {noTracer} from '../telemetry/tracer.js';
import {noMetrics} from '../telemetry/metrics.js';
import type {ReserveResult} from '../common/types.js';
import {CallersRoutes} from './callers-routes.js';
import {EntryTask} from './entry-task.js';

/** The key that `checkTestKey` accepts. */
export const validKey = 'bt_k1_secret';

/** Names in the test configuration. */
export const names = {
	customer: 'lakeshore',
	adapter: 'salt-orders',
	orders: 'orders',
	stock: 'stock',
} as const;

/** One dispatch as the fake agent received it. */
export type AgentCall = {
	readonly dispatch: Dispatch;
	readonly call: DispatchCall;
	readonly body: Uint8Array;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
};

/** Handles a dispatch at the fake agent. */
export type AgentHandler = (call: AgentCall) => void | Promise<void>;

/** A recorded call of the fake claim service. */
export type ClaimCall = {
	readonly step: 'claim' | 'record' | 'release';
	readonly key: string;
	readonly outcome?: RecordedOutcome;
};

/** A running entry with fake agents and fake services. */
export type EntryFixture = {
	readonly app: FastifyInstance;
	readonly entry: EntryTask;
	readonly url: string;
	readonly agentCalls: AgentCall[];
	readonly claimCalls: ClaimCall[];
	readonly returnedTokens: number[];
	readonly close: () => Promise<void>;
};

/** Options of `startEntry`. */
export type EntryFixtureOptions = {
	readonly agents?: readonly AgentHandler[];
	readonly reserve?: () => ReserveResult;
	readonly claim?: () => ClaimResult;
	readonly bodyLimit?: number;
};

/** Status that the fake agent reports. */
export function statusOf(server: string): ServerStatus {
	return {
		server,
		zone: 'z1',
		incarnation: 'i1',
		configVersion: 1,
		backend: {kind: 'engine', baseModel: 'base'},
		isAcceptingWork: true,
		running: 0,
		queued: 0,
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}

/** Starts an answer of the fake agent. */
export function startAnswer(
	{dispatch, res}: AgentCall,
	contentType: string,
	attemptId = dispatch.attemptId,
): void {
	const reply: DispatchReply = {
		kind: 'answer',
		attemptId,
		status: 200,
		contentType,
		server: statusOf('s1'),
	};
	res.writeHead(200, {
		[replyHeader]: encodeHeader(reply),
		trailer: endTrailer,
		'content-type': contentType,
	});
	res.flushHeaders();
}

/** Completes an answer of the fake agent with the end trailer. */
export function endAnswer(
	{dispatch, res}: AgentCall,
	attemptId = dispatch.attemptId,
): void {
	const usage = {promptTokens: 1, completionTokens: 2};
	res.addTrailers({[endTrailer]: encodeHeader({attemptId, usage})});
	res.end();
}

/** Sends a complete answer from the fake agent. */
export function answerComplete(
	call: AgentCall,
	text: string,
	contentType = 'application/json',
): void {
	startAnswer(call, contentType);
	call.res.write(text);
	endAnswer(call);
}

/** Refuses a dispatch at the fake agent. */
export function refuseDispatch(
	{dispatch, res}: AgentCall,
	refusal: Extract<DispatchReply, {kind: 'refused'}>['refusal'],
): void {
	const reply: DispatchReply = {
		kind: 'refused',
		attemptId: dispatch.attemptId,
		refusal,
		server: statusOf('s1'),
		changes: [],
	};
	res.writeHead(503, {[replyHeader]: encodeHeader(reply)});
	res.end();
}

/** Starts an entry with one fake agent for each handler. */
export async function startEntry(
	options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
	const agentCalls: AgentCall[] = [];
	const claimCalls: ClaimCall[] = [];
	const returnedTokens: number[] = [];
	const handlers = options.agents ?? [
		call => {
			answerComplete(call, '{"ok":true}');
		},
	];
	const agents = await Promise.all(
		handlers.map(async handler => startAgent(handler, agentCalls)),
	);
	const hosts = agents.flatMap((agent, i) => hostsOf(`s${i + 1}`, agent));
	const view = createTestView();
	const config = {
		view: () => view,
		isReady: () => true,
		changesAfter: () => [],
		learn() {
			// The test configuration stays as it is.
		},
		notePeerVersion() {
			// The test configuration stays as it is.
		},
		onAdvanced: () => ({
			dispose() {
				// Nothing was registered.
			},
		}),
	};
	const dispatcher = new Agent();
	const telemetry = {
		metrics: noMetrics,
		tracer: noTracer,
		logger: {info: ignore, warn: ignore, error: ignore},
	};
	const entry = EntryTask.create({
		hostId: 'e1',
		region: 'r1',
		deadlineMs: 5000,
		rate: {
			reserve: async () => options.reserve?.() ?? {kind: 'reserved'},
			returnTokens(_customer, tokens) {
				returnedTokens.push(tokens);
			},
		},
		claims: {
			async claim(_id, _customer, key) {
				claimCalls.push({step: 'claim', key});
				return options.claim?.() ?? {kind: 'granted'};
			},
			async record(_id, _customer, key, outcome) {
				claimCalls.push({step: 'record', key, outcome});
			},
			async release(_id, _customer, key) {
				claimCalls.push({step: 'release', key});
			},
		},
		config,
		membership: {
			hosts: () => hosts,
			find: id => hosts.find(host => host.id === id),
			onChanged: config.onAdvanced,
		},
		telemetry,
		clock: Date.now,
		checkKey: checkTestKey,
		dispatcher: () => dispatcher,
		peerUrl: address => `http://${address}`,
		probe: async () => statusOf('s1'),
	});
	entry.start();
	const app = fastify({
		bodyLimit: options.bodyLimit ?? 64 * 1024,
		forceCloseConnections: true,
	});
	CallersRoutes.create({
		hostId: 'e1',
		config,
		checkKey: checkTestKey,
		telemetry,
		entry,
	}).register(app);
	const url = await app.listen({host: '127.0.0.1', port: 0});
	return {
		app,
		entry,
		url,
		agentCalls,
		claimCalls,
		returnedTokens,
		async close() {
			entry.stop();
			await app.close();
			await dispatcher.destroy();
			for (const agent of agents) {
				agent.closeAllConnections();
				agent.close();
			}
		},
	};
}

function ignore(): void {
	// The tests don't check logs.
}

function checkTestKey(_view: ConfigView, text: string | undefined): Credential {
	if (text === undefined) {
		return {kind: 'none'};
	}

	return text === validKey
		? {kind: 'key', keyId: 'k1', customer: names.customer}
		: {kind: 'invalid'};
}

async function startAgent(
	handler: AgentHandler,
	calls: AgentCall[],
): Promise<Server> {
	const server = createServer((req, res) => {
		void receiveDispatch(req, res, handler, calls);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

async function receiveDispatch(
	req: IncomingMessage,
	res: ServerResponse,
	handler: AgentHandler,
	calls: AgentCall[],
): Promise<void> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const call: AgentCall = {
		dispatch: decodeHeader(req.headers[dispatchHeader]) as Dispatch,
		call: decodeHeader(req.headers[callHeader]) as DispatchCall,
		body: Buffer.concat(chunks),
		req,
		res,
	};
	calls.push(call);
	await handler(call);
}

/** Lists the fake agent as two hosts: one with an engine and one with a plain service. */
function hostsOf(id: string, server: Server): readonly Host[] {
	const {port} = server.address() as AddressInfo;
	const common = {
		role: 'agent',
		zone: 'z1',
		region: 'r1',
		peerAddress: `127.0.0.1:${port}`,
		state: 'live',
	} as const;
	return [
		{...common, id, backend: {kind: 'engine', baseModel: 'base'}},
		{
			...common,
			id: `${id}-service`,
			backend: {kind: 'service', service: 'yard'},
		},
	];
}

/** A configuration with one customer, one adapter and two service routes. */
export function createTestView(): ConfigView {
	const snapshot: ConfigSnapshot = {
		version: 1,
		documentDigest: '',
		customers: [
			{
				name: names.customer,
				tokensPerSecond: 1000,
				burstTokens: 1000,
				weight: 1,
			},
		],
		adapters: [
			{
				name: names.adapter,
				baseModel: 'base',
				customers: [],
				versions: [{name: 'v1', weights: 'w1'}],
				currentVersion: 'v1',
			},
		],
		routes: [
			serviceRoute(names.orders, false),
			serviceRoute(names.stock, true),
		],
		keys: [
			{id: 'k1', customer: names.customer, salt: '', digest: '', issuedAt: 0},
		],
		withdrawnKeyIds: [],
		zonesOut: [],
		drainedServers: [],
	};
	return viewOf(snapshot);
}

function serviceRoute(name: string, isRepeatable: boolean) {
	return {
		name,
		target: {kind: 'service', service: 'yard'},
		customers: [],
		isRepeatable,
		tokensPerCall: 1,
	} as const;
}

function viewOf(snapshot: ConfigSnapshot): ConfigView {
	return {
		version: snapshot.version,
		documentDigest: snapshot.documentDigest,
		customer: name => snapshot.customers.find(item => item.name === name),
		adapter: name => snapshot.adapters.find(item => item.name === name),
		route: name => snapshot.routes.find(item => item.name === name),
		key: id => snapshot.keys.find(item => item.id === id),
		isKeyWithdrawn: id => snapshot.withdrawnKeyIds.includes(id),
		isZoneOut: zone => snapshot.zonesOut.includes(zone),
		isServerDrained: server => snapshot.drainedServers.includes(server),
		lastChangeVersion: () => 0,
		customers: () => snapshot.customers,
		adapters: () => snapshot.adapters,
		routes: () => snapshot.routes,
		toSnapshot: () => snapshot,
	};
}
