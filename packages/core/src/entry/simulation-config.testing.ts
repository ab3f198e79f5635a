import type {ConfigOp} from '../config/types.js';
import type {AgentHost} from '../membership/types.js';

const key = {customer: 'c', salt: '', digest: '', issuedAt: 0};

/** Four engines and two servers of a service, in three zones. */
export const simulatedServers: readonly AgentHost[] = Array.from(
	{length: 6},
	(_, i) => ({
		role: 'agent',
		id: `s${i}`,
		zone: `z${i % 3}`,
		region: 'r1',
		peerAddress: `10.0.0.${i}:1`,
		state: 'live',
		backend:
			i < 4
				? {kind: 'engine', baseModel: 'base'}
				: {kind: 'service', service: 'yard'},
	}),
);

/** One customer with two keys, an adapter and a route with non-repeatable calls. */
export const initialConfig: readonly ConfigOp[] = [
	{
		op: 'putCustomer',
		customer: {name: 'c', tokensPerSecond: 1, burstTokens: 1, weight: 1},
	},
	{
		op: 'putAdapter',
		adapter: {
			name: 'a',
			baseModel: 'base',
			customers: [],
			versions: [{name: 'v', weights: 'w'}],
			currentVersion: 'v',
		},
	},
	{
		op: 'putRoute',
		route: {
			name: 'orders',
			target: {kind: 'service', service: 'yard'},
			customers: [],
			isRepeatable: false,
			tokensPerCall: 1,
		},
	},
	{op: 'issueKey', key: {id: 'k1', ...key}},
	{op: 'issueKey', key: {id: 'k2', ...key}},
];

/** Changes that may happen while requests run. */
export const configChanges: ReadonlyArray<readonly ConfigOp[]> = [
	[{op: 'withdrawKey', keyId: 'k1'}],
	[{op: 'takeZoneOut', zone: 'z0'}],
	[{op: 'drainServer', server: 's4'}],
	[{op: 'bringZoneIn', zone: 'z0'}],
];
