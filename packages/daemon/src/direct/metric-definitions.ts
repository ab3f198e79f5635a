/** All metrics of entries and agents. Times are in seconds, as is usual for Prometheus. */
export const metricDefinitions = {
	requests: {
		kind: 'counter',
		name: 'balsamtray_requests_total',
		help: 'Finished requests by status and reason (`answered` for complete responses).',
		labels: ['status', 'reason'],
	},
	sends: {
		kind: 'counter',
		name: 'balsamtray_sends_total',
		help: 'Attempts on servers by service and outcome.',
		labels: ['service', 'outcome'],
	},
	wait: {
		kind: 'histogram',
		name: 'balsamtray_wait_seconds',
		help: 'Time from arrival to the last dispatch, by cause of the wait (`nothing`, `awaitAdapter`, `full`, `noServer`, `promptQueue`).',
		labels: ['cause'],
	},
	quota: {
		kind: 'histogram',
		name: 'balsamtray_quota_seconds',
		help: "Time until units of a customer's rate were granted or refused.",
		labels: ['outcome'],
	},
	firstByte: {
		kind: 'histogram',
		name: 'balsamtray_first_byte_seconds',
		help: 'Time from arrival to the first byte of the response body.',
		labels: [],
	},
	pause: {
		kind: 'histogram',
		name: 'balsamtray_longest_pause_seconds',
		help: 'Longest time between two chunks of a response body.',
		labels: [],
	},
	storeCall: {
		kind: 'histogram',
		name: 'balsamtray_store_read_seconds',
		help: 'Duration of store table reads, including long-poll waits, by table and outcome.',
		labels: ['table', 'outcome'],
	},
	peerCall: {
		kind: 'histogram',
		name: 'balsamtray_peer_call_seconds',
		help: "Duration of queries to other entries for a customer's rate (`rate`) and to agents for the start of a prompt's prefill (`turn`), by outcome (`answered`, `silent`).",
		labels: ['kind', 'outcome'],
	},
	proofAge: {
		kind: 'histogram',
		name: 'balsamtray_proof_age_seconds',
		help: 'Age of the proof that the configuration is current, at the end of each request.',
		labels: [],
	},
	waiting: {
		kind: 'gauge',
		name: 'balsamtray_waiting',
		help: 'Requests waiting for a server or an adapter.',
		labels: [],
	},
	loopDelay: {
		kind: 'gauge',
		name: 'balsamtray_event_loop_delay_seconds',
		help: '99th percentile of the event loop delay since the last scrape.',
		labels: [],
	},
	orders: {
		kind: 'counter',
		name: 'balsamtray_orders_total',
		help: 'Orders to the engine by operation and outcome.',
		labels: ['operation', 'outcome'],
	},
} as const;

/** Upper bounds of all histogram buckets, in seconds: from a network round trip to the longest request timeout. */
export const bucketBounds = [
	0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15, 30,
] as const;
