import type {CustomerRule, QuotaGrant, QuotaLedger} from '@balsamtray/core';
import type {GossipMessage, QuotaQuery} from '@balsamtray/protocol';
import {quotaReplyLifetimeMs} from './constants.js';
import type {EntryPeers} from './entry-peers.js';
import type {Endpoint} from './types.js';

export type QuotaResponderOptions = {
	readonly clock: () => number;
	readonly peers: EntryPeers;
	readonly ledger: QuotaLedger;
	/** Returns the rule of a customer; undefined if the configuration has none. */
	readonly ruleOf: (customer: string) => CustomerRule | undefined;
	/** Returns the rate that stands for the limit of a server, in requests a second. */
	readonly limitRuleOf: (name: string, perSecond: number) => CustomerRule;
	readonly send: (message: GossipMessage, to: Endpoint) => void;
};

type SentGrant = {readonly grant: QuotaGrant; readonly at: number};

/**
 * Replies to other entries' queries for units of the rates that this entry owns, and passes the others on. A query that
 * arrives twice, directly and through another entry, takes its units once.
 */
export class QuotaResponder {
	static create(options: QuotaResponderOptions): QuotaResponder {
		return new QuotaResponder(options);
	}

	/** Recent replies by query, oldest first. */
	private readonly _sent = new Map<string, SentGrant>();

	private constructor(private readonly _options: QuotaResponderOptions) {}

	onQuery(query: QuotaQuery, from: Endpoint): void {
		const {peers, ledger, clock, ruleOf, limitRuleOf, send} = this._options;
		const {askId, customer, units, replyTo = from} = query;
		const rule =
			query.serverLimit === undefined
				? ruleOf(customer)
				: limitRuleOf(customer, query.serverLimit);
		if (rule === undefined) {
			return;
		}

		if (!peers.isOwner(customer)) {
			peers.forwardQuery(query, from);
			return;
		}

		const now = clock();
		this._expire(now);
		const key = `${query.from}/${askId}`;
		const grant =
			this._sent.get(key)?.grant ??
			ledger.take(peers.grantable(rule), units, now);
		this._sent.set(key, {grant, at: now});
		send({type: 'quotaAnswer', askId, grant}, replyTo);
	}

	private _expire(now: number): void {
		for (const [key, {at}] of this._sent) {
			if (now - at < quotaReplyLifetimeMs) {
				return;
			}

			this._sent.delete(key);
		}
	}
}
