import {
	defaultAgentPolicy,
	defaultRoutingPolicy,
	leaseMs,
	leaseRenewalMs,
	naiveAgentPolicy,
	naiveRoutingPolicy,
	shardPollMsPerShard,
	shardsPerCustomer,
} from '@balsamtray/core';
import {entryCount} from './constants.js';
import type {ServingPolicy} from './types.js';

const ours: ServingPolicy = {
	name: 'ours',
	routing: defaultRoutingPolicy,
	agent: defaultAgentPolicy,
	rate: {
		kind: 'shards',
		shardsPerCustomer,
		times: {
			leaseMs,
			renewalMs: leaseRenewalMs,
			pollMsPerShard: shardPollMsPerShard,
		},
	},
};

/** Least connections over all servers, LRU, first come first served, fixed window, even static shares. */
const naive: ServingPolicy = {
	name: 'naive',
	routing: naiveRoutingPolicy,
	agent: naiveAgentPolicy,
	rate: {kind: 'evenShares', entryCount},
};

/** Policies that experiments can run with. The mixed ones tell which part a difference comes from. */
export const servingPolicies: readonly ServingPolicy[] = [
	ours,
	naive,
	{...ours, name: 'naive-routing', routing: naive.routing},
	{...ours, name: 'naive-agent', agent: naive.agent},
	{...ours, name: 'naive-rate', rate: naive.rate},
];
