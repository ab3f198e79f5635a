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
export * from './authority/constants.js';
export * from './authority/store-era.js';
export * from './authority/store-version.js';
export * from './authority/table-cursor.js';
export * from './authority/version-bounds.js';
export {pickShare} from './authority/route-table.js';
export * from './freshness/suspension-detector.js';
export * from './freshness/freshness-lease.js';
export {freshnessMarginMs} from './freshness/constants.js';
export {slackWindowMs} from './quota/constants.js';
export * from './quota/quota-ledger.js';
export * from './quota/grantable-part.js';
export * from './quota/server-limit-rules.js';
export type * from './placement/types.js';
export * from './placement/prompt-pacer.js';
export * from './contention/constants.js';
export * from './contention/early-refusal.js';
export * from './contention/sooner-engine.js';
export * from './contention/late-load.js';
export * from './contention/refused-callers.js';
export * from './contention/turn-queue.js';
export type * from './contention/waiting-request.js';
export * from './contention/waiting-requests.js';
export * from './placement/prefill-rate.js';
export {
	departureCheckMs,
	initialPrefillTokensPerMs,
	silenceTimeoutMs,
} from './placement/constants.js';
export * from './placement/choose-moves.js';
export {ServerState} from './placement/server-state.js';
export * from './placement/adapter-load-times.js';
export * from './placement/fleet-view.js';
export type {OutputProgress} from './work/output-progress.js';
export type {OutputSubject} from './work/output-lengths.js';
export * from './orders/order-planner.js';
export {shutdownFirstRequestMs, shutdownLeaveMs} from './direct/constants.js';
export * from './direct/dispatch-check.js';
export * from './direct/retry-allowance.js';
export * from './direct/retry-audit.js';
export {
	SuspectRegistry,
	type QuarantinedRequest,
} from './entry/suspect-registry.js';
export {PartSuspects} from './suspects/part-suspects.js';
export {
	UnansweredRequests,
	type UnansweredRequest,
} from './suspects/unanswered-requests.js';
export type * from './suspects/types.js';
export type * from './intake/types.js';
export {
	connectionBytes,
	headerFieldBytes,
	maxRequestsPerConnection,
	requestBytes,
} from './intake/constants.js';
export * from './intake/intake-limits.js';
export * from './intake/kept-memory.js';
export * from './intake/connection-slots.js';
export * from './direct/entry-drain.js';
export * from './direct/event-stream-splitter.js';
export type * from './topology/types.js';
export * from './topology/constants.js';
export * from './topology/entry-census.js';
export * from './topology/entry-topology.js';
export * from './topology/read-duty.js';
export type * from './streams/types.js';
export * from './streams/constants.js';
export * from './streams/decide-resumption.js';
export * from './streams/software-versions.js';
export * from './streams/stream-origins.js';
export type * from './duties/types.js';
export * from './duties/fencing.js';
export type * from './usage/types.js';
export {contributionIntervalMs} from './usage/contribution-sender.js';
export * from './usage/usage-core.js';
export type * from './usage/usage-reports.js';
export type {WindowStatus} from './usage/contributions.js';
export type {TrueTimeEstimate} from './usage/true-time.js';
export * from './duties/constants.js';
export * from './duties/lease-record.js';
export * from './duties/duty-order.js';
export * from './duties/platform-contact.js';
export * from './duties/duty-lease.js';
export * from './duties/call-audit.js';
