export type * from './refusal/types.js';
export type * from './config/types.js';
export type * from './membership/types.js';
export type * from './agent/types.js';
export type * from './entry/types.js';
export type * from './spread/types.js';
export type * from './rate/types.js';
export type * from './claims/types.js';
export * from './common/random.js';
export * from './common/rendezvous.js';
export * from './agent/agent-core.js';
export * from './agent/agent-policy.js';
export * from './refusal/refusals.js';
export * from './refusal/http-status.js';
export type * from './routing/types.js';
export * from './routing/router.js';
export * from './routing/default-routing-policy.js';
export * from './routing/naive-routing-policy.js';
export * from './entry/entry-core.js';
export * from './entry/resolve-target.js';
export {
	authorize,
	isKeyValid,
	type Authorization,
	type Admission,
} from './entry/authorize.js';
export * from './common/persistent-map.js';
export * from './config/config-state.js';
export * from './config/document.js';
export * from './config/keys.js';
export * from './config/plan.js';
export * from './config/subjects.js';
export * from './spread/config-replica.js';
export * from './spread/constants.js';
export * from './rate/rate-core.js';
export * from './rate/shard-leases.js';
export type * from './rate/lease-types.js';
export * from './rate/constants.js';
export * from './rate/even-shares.js';
export * from './rate/token-bucket.js';
export * from './claims/claim-core.js';
export * from './claims/constants.js';
export type * from './authority/types.js';
export * from './authority/authority-view.js';
export {pickShare} from './authority/route-table.js';
export * from './freshness/suspension-detector.js';
export * from './freshness/freshness-lease.js';
export * from './quota/quota-ledger.js';
export type * from './placement/types.js';
export * from './placement/prompt-pacer.js';
export {ServerState} from './placement/server-state.js';
export * from './placement/fleet-view.js';
export * from './orders/order-planner.js';
export {shutdownLeaveMs} from './direct/constants.js';
export * from './direct/dispatch-check.js';
export * from './direct/retry-allowance.js';
export {SuspectRegistry} from './entry/suspect-registry.js';
export * from './direct/shutdown.js';
export * from './direct/event-stream-splitter.js';
