import {
	ConfigState,
	type AgentHost,
	type ConfigOp,
	type Dispatch,
	type EntryRequest,
} from '@balsamtray/core';

export const fixtureBaseModel = 'base';
export const fixtureCustomer = 'customer';
export const fixtureKeyId = 'key';

/** Returns the name of the adapter with the given number. */
export function fixtureAdapter(number: number): string {
	return `adapter-${number}`;
}

/** Creates a configuration with one customer and the given number of adapters. */
export function fixtureConfig(adapters: number): ConfigState {
	const ops: readonly ConfigOp[] = [
		{
			op: 'putCustomer',
			customer: {
				name: fixtureCustomer,
				tokensPerSecond: 1_000_000,
				burstTokens: 1_000_000,
				weight: 1,
			},
		},
		{
			op: 'issueKey',
			key: {
				id: fixtureKeyId,
				customer: fixtureCustomer,
				salt: '',
				digest: '',
				issuedAt: 0,
			},
		},
		...Array.from({length: adapters}, (_, i): ConfigOp => ({
			op: 'putAdapter',
			adapter: {
				name: fixtureAdapter(i),
				baseModel: fixtureBaseModel,
				customers: [],
				versions: [{name: 'v1', weights: fixtureAdapter(i)}],
				currentVersion: 'v1',
			},
		})),
	];
	const result = ConfigState.empty().applyChange({
		version: 1,
		changeId: '1',
		author: 'fixture',
		writtenAt: 0,
		summary: 'fixture',
		ops,
	});
	if (result.kind !== 'applied') {
		throw new Error('the change that sets up the fixture was not applied');
	}

	return result.state;
}

/** Creates the given number of engine hosts in one region. */
export function fixtureHosts(servers: number): readonly AgentHost[] {
	return Array.from({length: servers}, (_, i) => ({
		role: 'agent',
		id: `server-${i}`,
		zone: `zone-${i % 3}`,
		region: 'region',
		peerAddress: `10.0.0.1:${i}`,
		state: 'live',
		backend: {kind: 'engine', baseModel: fixtureBaseModel},
	}));
}

/** Creates a caller's request for an adapter. */
export function fixtureRequest(id: string, adapter: string): EntryRequest {
	return {
		requestId: id,
		credential: {
			kind: 'key',
			keyId: fixtureKeyId,
			customer: fixtureCustomer,
		},
		work: {kind: 'model', model: adapter, promptTokens: 200, maxTokens: 200},
		bodyDigest: id,
		deadlineAt: 1_000_000_000,
	};
}

/** Creates the dispatch of a request for an adapter. */
export function fixtureDispatch(id: string, adapter: string): Dispatch {
	return {
		attemptId: id,
		requestId: id,
		entryId: 'entry',
		configVersion: 1,
		customer: fixtureCustomer,
		weight: 1,
		keyId: fixtureKeyId,
		target: {kind: 'adapter', adapter, version: 'v1', weights: adapter},
		isRepeatable: true,
		promptTokens: 200,
		maxTokens: 200,
		timeLeftMs: 1_000_000,
		fingerprint: id,
	};
}
