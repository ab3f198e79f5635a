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

/** Least connections over all servers, LRU eviction, FIFO queue, fixed window, even static shares of the rate. */
const naive: ServingPolicy = {
	name: 'naive',
	routing: naiveRoutingPolicy,
	agent: naiveAgentPolicy,
	rate: {kind: 'evenShares', entryCount},
};

/** Policies that experiments can run with. Those with one naive part show the effect of that part. */
export const servingPolicies: readonly ServingPolicy[] = [
	ours,
	naive,
	{...ours, name: 'naive-routing', routing: naive.routing},
	{...ours, name: 'naive-agent', agent: naive.agent},
	{...ours, name: 'naive-rate', rate: naive.rate},
];
