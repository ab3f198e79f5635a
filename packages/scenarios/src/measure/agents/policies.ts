import {
	defaultAgentPolicy,
	naiveAgentPolicy,
	type AgentPolicy,
} from '@balsamtray/core';

/** Returns the default policy with one part from the naive policy, which shows the effect of that part. */
function withNaivePart(part: keyof AgentPolicy): AgentPolicy {
	return {...defaultAgentPolicy, [part]: naiveAgentPolicy[part]};
}

/** Policies that the experiments compare, by name. */
export const agentPolicies: ReadonlyMap<string, AgentPolicy> = new Map([
	['naive', naiveAgentPolicy],
	['default', defaultAgentPolicy],
	['fifo', withNaivePart('createQueue')],
	['fixed-window', withNaivePart('createWindow')],
	['unlimited-loads', withNaivePart('createLoadLimiter')],
	['lru', withNaivePart('pickVictim')],
	['loads-in-queue-order', withNaivePart('orderLoads')],
]);
