import {
	QuotaLedger,
	ServerLimitRules,
	createRandom,
	type CustomerRule,
	type QuotaGrant,
	type Random,
} from '@balsamtray/core';
import type {GossipMessage} from '@balsamtray/protocol';
import {heartbeatIntervalMs} from './constants.js';
import {EntryPeers} from './entry-peers.js';
import {QuotaResponder} from './quota-responder.js';
import type {Endpoint} from './types.js';

/** Interval at which the root of a zone proves that its statements are the newest, in milliseconds. */
const proofIntervalMs = 1200;

const stepMs = 10;

export type EntryFleetOptions = {
	readonly count: number;
	readonly zones: number;
	readonly seed: number;
	/** Share of the datagrams that are lost. */
	readonly lossRate?: number;
	readonly customers?: readonly CustomerRule[];
};

/** An entry of the simulated fleet. */
export type SimulatedEntry = {
	readonly id: string;
	readonly zone: string;
	readonly peers: EntryPeers;
	readonly ledger: QuotaLedger;
	readonly responder: QuotaResponder;
	readonly nextTickAt: {value: number};
	/** Time of the newest proof by the clock of the fleet; negative infinity without one. */
	provenAt: number;
	lastReadAt: number;
	isDown: boolean;
	/** Time that the entry takes to handle a datagram, in milliseconds. */
	lagMs: number;
	/** Whether the entry can't reach the store. */
	isCutFromStore: boolean;
};

type Datagram = {
	readonly at: number;
	readonly message: GossipMessage;
	readonly from: string;
	readonly to: string;
};

/** Many `EntryPeers` in virtual time over a network that delays and loses datagrams. */
export class EntryFleet {
	static create(options: EntryFleetOptions): EntryFleet {
		return new EntryFleet(options);
	}

	now = 0;
	readonly entries = new Map<string, SimulatedEntry>();
	/** Sent datagrams and bytes. */
	readonly sent = {datagrams: 0, bytes: 0, bytesBetweenZones: 0};
	/** Time of the newest read that proves anything. No entry can know of a later one. */
	newestProofAt = 0;
	private _inFlight: Datagram[] = [];
	private readonly _random: Random;
	/** Random numbers of the processes, apart from those of the network. */
	private readonly _processRandom: Random;

	private constructor(private readonly _options: EntryFleetOptions) {
		this._random = createRandom(_options.seed);
		this._processRandom = createRandom(_options.seed + 1);
		const {count, zones} = _options;
		for (let i = 0; i < count; i++) {
			this._add(`entry-${i}`, `zone-${i % zones}`);
		}

		for (const entry of this.entries.values()) {
			this._join(entry);
		}
	}

	/** Whether datagrams pass from one entry to another. */
	canPass: (from: SimulatedEntry, to: SimulatedEntry) => boolean = () => true;

	get live(): readonly SimulatedEntry[] {
		return [...this.entries.values()].filter(({isDown}) => !isDown);
	}

	/** Live entries that read the store for their zone. */
	get roots(): readonly SimulatedEntry[] {
		return this.live.filter(({peers}) => peers.isRoot);
	}

	/** Largest age of a proof among the live entries, in milliseconds. */
	get oldestProofMs(): number {
		return Math.max(...this.live.map(({provenAt}) => this.now - provenAt));
	}

	/** Lets time pass for the entries. */
	run(milliseconds: number, onStep?: () => void): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMs;
			this._deliver();
			for (const entry of this.live) {
				this._step(entry);
			}

			onStep?.();
		}
	}

	/** Replaces the process of an entry by a new one, whose monotonic clock starts at 0. */
	restart(entryId: string): void {
		this._join(this._add(entryId, this.entries.get(entryId)!.zone));
	}

	/** Lets an entry take units of a customer's rate. Resolves within the next calls of `run`. */
	async reserve(
		entryId: string,
		customer: CustomerRule,
		units: number,
	): Promise<QuotaGrant> {
		const {grant} = await this.entries
			.get(entryId)!
			.peers.reserve(customer, units);
		return grant;
	}

	private _join({peers}: SimulatedEntry): void {
		const rows = [...this.entries.values()].map(({id, zone}) => ({
			id,
			zone,
			endpoint: endpointOf(id),
		}));
		peers.noteListed();
		peers.setMembers(rows, true);
	}

	private _step(entry: SimulatedEntry): void {
		if (
			entry.peers.isRoot &&
			!entry.isCutFromStore &&
			this.now - entry.lastReadAt >= proofIntervalMs
		) {
			// A read proves the time at which it began, and the next one begins when it ends.
			entry.provenAt = Math.max(entry.provenAt, entry.lastReadAt);
			this.newestProofAt = Math.max(this.newestProofAt, entry.lastReadAt);
			entry.lastReadAt = this.now;
		}

		if (this.now >= entry.nextTickAt.value) {
			entry.nextTickAt.value += heartbeatIntervalMs;
			entry.peers.sendHeartbeats();
		}
	}

	private _deliver(): void {
		const due = this._inFlight.filter(({at}) => at <= this.now);
		this._inFlight = this._inFlight.filter(({at}) => at > this.now);
		for (const {message, from, to} of due) {
			const receiver = this.entries.get(to)!;
			if (!receiver.isDown) {
				receive(receiver, message, endpointOf(from));
			}
		}
	}

	private _send(from: SimulatedEntry, message: GossipMessage, to: string) {
		const receiver = this.entries.get(to)!;
		const bytes = JSON.stringify(message).length;
		this.sent.datagrams++;
		this.sent.bytes += bytes;
		this.sent.bytesBetweenZones += from.zone === receiver.zone ? 0 : bytes;
		const isLost = this._random() < (this._options.lossRate ?? 0);
		if (!isLost && this.canPass(from, receiver)) {
			const at = this.now + stepMs + receiver.lagMs;
			this._inFlight.push({at, message, from: from.id, to});
		}
	}

	private _add(id: string, zone: string): SimulatedEntry {
		const startedAt = this.now;
		const clock = () => this.now - startedAt;
		const customers = this._options.customers ?? [];
		const ledger = QuotaLedger.create({
			isFirstStart: true,
			slackUnits: () => 0,
			now: 0,
		});
		const send = (message: GossipMessage, {host}: Endpoint) => {
			this._send(entry, message, host);
		};

		const peers = EntryPeers.create({
			hostId: id,
			zone,
			endpoint: endpointOf(id),
			clock,
			random: this._processRandom,
			epoch: () => 0,
			ledger,
			send,
			authorityVersion: () => ({era: 0, version: 1}),
			settledEra: () => 0,
			storeEra: () => 0,
			onEra: () => undefined,
			isServing: () => true,
			provenAt: () => entry.provenAt - startedAt,
			customers: () => customers.map(({name}) => name),
			tables: () => ({
				servers: {revision: 1, ageMs: 100},
				members: {revision: 1, ageMs: 100},
			}),
			onTables: () => undefined,
			onProof(provenAt, epoch) {
				// Like a lease, it takes no proof from before the first heartbeat.
				if (epoch === 0) {
					entry.provenAt = Math.max(entry.provenAt, provenAt + startedAt);
				}
			},
			fetchStatements: async () => [],
			onStatements: () => undefined,
			onRootChanged: () => undefined,
			quarantine: () => '',
			onQuarantine: () => undefined,
			quarantinedRequests: () => '',
			onQuarantinedRequests: () => undefined,
			maxCutServingMs: () => 5000,
			onQueryEnded: () => undefined,
			onLost: () => undefined,
			onRegained: () => undefined,
			onError: () => undefined,
		});
		const entry: SimulatedEntry = {
			id,
			zone,
			ledger,
			peers,
			responder: QuotaResponder.create({
				clock,
				peers,
				ledger,
				limitRuleOf: (name, perSecond) =>
					ServerLimitRules.create().ruleFor(name, perSecond, clock()),
				ruleOf: customer => customers.find(({name}) => name === customer),
				send,
			}),
			nextTickAt: {
				value: startedAt + Math.floor(this._random() * heartbeatIntervalMs),
			},
			provenAt: startedAt === 0 ? 0 : Number.NEGATIVE_INFINITY,
			lastReadAt: startedAt,
			isDown: false,
			lagMs: 0,
			isCutFromStore: false,
		};
		this.entries.set(id, entry);
		return entry;
	}
}

function receive(
	{peers, responder}: SimulatedEntry,
	message: GossipMessage,
	from: Endpoint,
): void {
	switch (message.type) {
		case 'entry': {
			peers.onHeartbeat(message, from);
			break;
		}

		case 'partNote':
		case 'suspect': {
			peers.passOn(message);
			break;
		}

		case 'quotaAsk': {
			responder.onQuery(message, from);
			break;
		}

		case 'quotaAnswer': {
			peers.onQuotaReply(message.askId, message.grant);
			break;
		}

		case 'quotaReturn':
		case 'leaving':
		case 'streamNote':
		case 'streamAsk':
		case 'streamAnswer':
		case 'demand':
		case 'report':
		case 'turnAsk':
		case 'turnAnswer':
		case 'turnReturn':
		case 'turnTaken':
		case 'pace':
		case 'usageAck':
		case 'usageCounts':
		case 'usageDecision': {
			break;
		}
	}
}

function endpointOf(id: string): Endpoint {
	return {host: id, port: 1};
}
