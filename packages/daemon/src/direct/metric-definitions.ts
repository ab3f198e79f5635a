/** All metrics of entries and agents. Times are in seconds, as is usual for Prometheus. */
export const metricDefinitions = {
	requests: {
		kind: 'counter',
		name: 'balsamtray_requests_total',
		help: 'Requests that ended, by status and reason (`answered` for whole answers).',
		labels: ['status', 'reason'],
	},
	sends: {
		kind: 'counter',
		name: 'balsamtray_sends_total',
		help: 'Sends to servers, by service and by how they ended.',
		labels: ['service', 'outcome'],
	},
	retries: {
		kind: 'counter',
		name: 'balsamtray_retries_total',
		help: 'Retries of requests that this entry wanted to send, by service and by whether the limit on retries allowed them (`taken`, `refused`), and those that were taken and not sent (`returned`).',
		labels: ['service', 'outcome'],
	},
	wait: {
		kind: 'histogram',
		name: 'balsamtray_wait_seconds',
		help: 'Time from arrival to the last send, by what the request waited for (`nothing`, `awaitAdapter`, `full`, `noServer`, `promptQueue`, `serversSuspended`, `serversLimited`).',
		labels: ['cause'],
	},
	waitCauses: {
		kind: 'counter',
		name: 'balsamtray_wait_cause_seconds_total',
		help: 'Time that requests waited, those that were refused included, by what they waited for. A request that waited for several things counts with each.',
		labels: ['cause'],
	},
	engineChoices: {
		kind: 'counter',
		name: 'balsamtray_engine_choices_total',
		help: 'Requests for engines that ended after a choice, by the rule of the last one: `learnedWork`, `expectedTime` until enough streams of the route were seen, or `runningCount` where an engine did not report how long work takes on its host.',
		labels: ['rule'],
	},
	quota: {
		kind: 'histogram',
		name: 'balsamtray_quota_seconds',
		help: "Time until a customer's rate was granted or refused.",
		labels: ['outcome'],
	},
	firstByte: {
		kind: 'histogram',
		name: 'balsamtray_first_byte_seconds',
		help: "Time from arrival to the first byte of the answer's body.",
		labels: [],
	},
	pause: {
		kind: 'histogram',
		name: 'balsamtray_longest_pause_seconds',
		help: 'Longest time between two parts of an answer.',
		labels: [],
	},
	storeCall: {
		kind: 'histogram',
		name: 'balsamtray_store_read_seconds',
		help: 'Reads of tables of the store, waits for changes included, by table and outcome.',
		labels: ['table', 'outcome'],
	},
	peerCall: {
		kind: 'histogram',
		name: 'balsamtray_peer_call_seconds',
		help: "Questions to other entries about a customer's rate and about a resumed stream, and to agents about a prompt's turn, by how they ended (`answered`, `silent`).",
		labels: ['kind', 'outcome'],
	},
	proofAge: {
		kind: 'histogram',
		name: 'balsamtray_proof_age_seconds',
		help: 'Age of the proof that the configuration is the newest, at the end of each request.',
		labels: [],
	},
	suspensions: {
		kind: 'counter',
		name: 'balsamtray_server_suspensions_total',
		help: 'Times for which servers wanted no requests, by whether their length was `valid` or `invalid`.',
		labels: ['kind'],
	},
	endlessResponses: {
		kind: 'counter',
		name: 'balsamtray_endless_responses_total',
		help: 'Connections to servers that were closed, since a part of what the server sent did not end.',
		labels: [],
	},
	quarantinedParts: {
		kind: 'gauge',
		name: 'balsamtray_quarantined_parts',
		help: 'Parts of prompts that are quarantined, as servers ended under them.',
		labels: [],
	},
	waiting: {
		kind: 'gauge',
		name: 'balsamtray_waiting',
		help: 'Requests that wait for a server or an adapter.',
		labels: [],
	},
	turns: {
		kind: 'counter',
		name: 'balsamtray_turns_total',
		help: "Prompts that asked for their turn at an engine, by how the wait ended (`granted`; `delayed` by an agent that only says delays; `unanswered`, sent without a turn; `tooLate`, it can't come in time; `moved`, another engine begins sooner).",
		labels: ['outcome'],
	},
	turnWait: {
		kind: 'histogram',
		name: 'balsamtray_turn_wait_seconds',
		help: "Time until the agent granted a prompt its turn at the agent's engine.",
		labels: [],
	},
	waitingPrompts: {
		kind: 'gauge',
		name: 'balsamtray_waiting_prompts',
		help: "Prompts of all entries that wait for their turn at the agent's engine.",
		labels: [],
	},
	prefillRate: {
		kind: 'gauge',
		name: 'balsamtray_prefill_tokens_per_ms',
		help: "Estimated rate at which the agent's engine prefills prompts, in tokens per millisecond.",
		labels: [],
	},
	loadLimit: {
		kind: 'gauge',
		name: 'balsamtray_load_limit',
		help: 'Estimated number of concurrent loads over all engines that the weight store serves at full speed.',
		labels: [],
	},
	usageWindows: {
		kind: 'counter',
		name: 'balsamtray_usage_windows_total',
		help: 'Windows with which this entry ended as the holder of the usage duty: `reported`, `late`, or `missed`.',
		labels: ['outcome'],
	},
	limitAsks: {
		kind: 'counter',
		name: 'balsamtray_server_limit_asks_total',
		help: 'Requests for a server that names a limit, by what became of their permission: `granted` or `refused` by the owner of the limit, `unanswered` by it, or `closed`, not asked as it refused shortly before.',
		labels: ['outcome'],
	},
	loopDelay: {
		kind: 'gauge',
		name: 'balsamtray_event_loop_delay_seconds',
		help: '99th percentile of the delay of the event loop since the last reading.',
		labels: [],
	},
	orders: {
		kind: 'counter',
		name: 'balsamtray_orders_total',
		help: 'Orders to the engine, by operation and outcome.',
		labels: ['operation', 'outcome'],
	},
	dutyChanges: {
		kind: 'counter',
		name: 'balsamtray_duty_changes_total',
		help: "Changes of this entry's right to act for a duty: `taken` or `regained`, or why it was lost (`expired`, `suspended`, `storeEra`, `takenAway` by another entry, `released`, `cutOff`).",
		labels: ['duty', 'change'],
	},
	dutyGap: {
		kind: 'histogram',
		name: 'balsamtray_duty_without_holder_seconds',
		help: 'Time without a holder of a duty before this entry took or regained its lease, as far as it saw.',
		labels: ['duty'],
	},
	dutyCalls: {
		kind: 'counter',
		name: 'balsamtray_duty_calls_total',
		help: 'Calls to the platform for a duty, by outcome (`accepted`, `rejected`, `unknown` without a response, `notSent` without the lease).',
		labels: ['duty', 'outcome'],
	},
	dutiesHeld: {
		kind: 'gauge',
		name: 'balsamtray_duties_held',
		help: 'Duties for which this entry may act.',
		labels: [],
	},
} as const;

/** Upper bounds of all histogram buckets, in seconds: from a network round trip to the longest request timeout. */
export const bucketBounds = [
	0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15, 30,
] as const;
