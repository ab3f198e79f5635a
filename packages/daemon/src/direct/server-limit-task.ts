import {
	serverLimitName,
	type FleetView,
	type ServerLimitRules,
} from '@balsamtray/core';
import {unansweredLimitMs} from './constants.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {EntryPeers} from './entry-peers.js';
import type {EventLog} from './event-log.js';

export type ServerLimitTaskOptions = {
	readonly clock: () => number;
	readonly fleet: Pick<FleetView, 'limits'>;
	readonly rules: ServerLimitRules;
	readonly peers: Pick<EntryPeers, 'reserveLimited'>;
	readonly metrics: Pick<DirectMetrics, 'noteLimitAsk'>;
	readonly log: Pick<EventLog, 'write'>;
};

/** Asks for a permission for each request to a server that names a limit. */
export class ServerLimitTask {
	static create(options: ServerLimitTaskOptions): ServerLimitTask {
		return new ServerLimitTask(options);
	}

	private constructor(private readonly _options: ServerLimitTaskOptions) {}

	/**
	 * Notes what a response says of its server's limit.
	 *
	 * @param perSecond requests a second; undefined if the response names no limit
	 * @param sentAt time at which its request was sent
	 */
	note(server: string, perSecond: number | undefined, sentAt: number): void {
		const {fleet, log, clock} = this._options;
		const change = fleet.limits.note(server, perSecond, sentAt, clock());
		if (change !== undefined) {
			log.write({
				event: 'serverLimit',
				server,
				...(change.kind === 'named' && {perSecond: change.perSecond}),
			});
		}
	}

	/** Whether a request may go to a server now. Asks the owner of the limit if the server names one. */
	async take(server: string): Promise<boolean> {
		const {fleet, rules, peers, metrics, clock} = this._options;
		const {limits} = fleet;
		const perSecond = limits.perSecond(server);
		if (perSecond === undefined) {
			return true;
		}

		if (!limits.isOpen(server, clock())) {
			metrics.noteLimitAsk('closed');
			return false;
		}

		limits.noteAsk(server);
		const rule = rules.ruleFor(serverLimitName(server), perSecond, clock());
		const retryAfterMs = await peers.reserveLimited(rule);
		limits.noteReply(server, retryAfterMs ?? unansweredLimitMs, clock());
		metrics.noteLimitAsk(outcomeOf(retryAfterMs));
		return retryAfterMs === 0;
	}
}

function outcomeOf(
	retryAfterMs: number | undefined,
): 'granted' | 'refused' | 'unanswered' {
	if (retryAfterMs === undefined) {
		return 'unanswered';
	}

	return retryAfterMs === 0 ? 'granted' : 'refused';
}
