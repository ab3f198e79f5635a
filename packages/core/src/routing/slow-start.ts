import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {AgentHost} from '../membership/types.js';
import {slowStartMs, startShare} from './constants.js';

const uint32Range = 2 ** 32;

/**
 * Gives new servers and the servers of a returning zone a growing share of their subjects.
 * The share is deterministic: all entries move the same subjects first, so that each adapter is loaded on one server.
 */
export class SlowStart {
	static create(): SlowStart {
		return new SlowStart();
	}

	private readonly _startedAt = new Map<string, number>();

	/** Begins the slow start of `zone:NAME` or `server:ID`. `now` is in milliseconds. */
	start(zoneOrServer: string, now: number): void {
		this._startedAt.set(zoneOrServer, now);
	}

	/** Whether the server already accepts requests for the subject. */
	isEligible(subject: string, host: AgentHost, now: number): boolean {
		const share = this._shareOf(host, now);
		return share >= 1 || positionOf(subject, host.id) < share;
	}

	/** Whether the server does not get its full share of work yet. */
	isActive(host: AgentHost, now: number): boolean {
		return this._shareOf(host, now) < 1;
	}

	/** Removes slow starts that are over. */
	prune(now: number): void {
		for (const [name, startedAt] of this._startedAt) {
			if (now - startedAt >= slowStartMs) {
				this._startedAt.delete(name);
			}
		}
	}

	private _shareOf({id, zone}: AgentHost, now: number): number {
		return this._startedAt.size === 0
			? 1
			: Math.min(
					this._share(`zone:${zone}`, now),
					this._share(`server:${id}`, now),
				);
	}

	private _share(name: string, now: number): number {
		const startedAt = this._startedAt.get(name);
		if (startedAt === undefined) {
			return 1;
		}

		return startShare + ((1 - startShare) * (now - startedAt)) / slowStartMs;
	}
}

/** Share, in [0, 1), above which a server in slow start accepts requests for the subject. */
function positionOf(subject: string, server: string): number {
	return rendezvousScore(hashString(server), hashString(subject)) / uint32Range;
}
