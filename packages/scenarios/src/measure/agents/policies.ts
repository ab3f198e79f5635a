import {
	defaultAgentPolicy,
	naiveAgentPolicy,
	type AgentPolicy,
} from '@balsamtray/core';

/** The default policy with one part taken from the naive one, to see what each part brings. */
function without(part: keyof AgentPolicy): AgentPolicy {
	return {...defaultAgentPolicy, [part]: naiveAgentPolicy[part]};
}

/** Policies that the experiment compares, by name. */
export const agentPolicies: ReadonlyMap<string, AgentPolicy> = new Map([
	['naive', naiveAgentPolicy],
	['default', defaultAgentPolicy],
	['fifo', without('createQueue')],
	['fixed-window', without('createWindow')],
	['unlimited-loads', without('createLoadLimiter')],
	['lru', without('pickVictim')],
	['loads-in-queue-order', without('orderLoads')],
]);
