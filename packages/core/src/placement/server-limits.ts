import {dropOldest} from '../common/drop-oldest.js';
import {
	maxLimitAskShare,
	maxRememberedServers,
	limitAskDelayMs,
} from './constants.js';

type Limit = {
	readonly perSecond: number;
	/** Time at which it was last named. */
	readonly namedAt: number;
	/** Time until which the owner of the limit grants nothing. */
	readonly closedUntil: number;
	/** Number of requests that ask the owner. */
	readonly asking: number;
};

/** How a response changed what is known of a server's limit: a new one in requests a second, or its end. */
export type LimitChange =
	| {readonly kind: 'named'; readonly perSecond: number}
	| {readonly kind: 'ended'};

/**
 * Limits that servers name in their responses: requests a second from all entries together. Each request needs a permission
 * of the entry that owns the limit; this is what one entry knows of the limits, and of when to ask again.
 */
export class ServerLimits {
	static create(): ServerLimits {
		return new ServerLimits();
	}

	/** By server, in the order in which they were last named. */
	private readonly _limits = new Map<string, Limit>();

	private constructor() {}

	/** Limit of a server in requests a second; undefined if it names none. */
	perSecond(server: string): number | undefined {
		return this._limits.get(server)?.perSecond;
	}

	/**
	 * Notes what a response of a server says of its limit. A response without one ends the limit if its request was sent after
	 * the limit was last named: earlier responses may be read late.
	 *
	 * @param perSecond undefined if the response names none
	 * @returns the change; undefined if there is none
	 */
	note(
		server: string,
		perSecond: number | undefined,
		sentAt: number,
		now: number,
	): LimitChange | undefined {
		const known = this._limits.get(server);
		if (perSecond === undefined) {
			if (known === undefined || sentAt <= known.namedAt) {
				return undefined;
			}

			this._limits.delete(server);
			return {kind: 'ended'};
		}

		this._limits.delete(server);
		this._limits.set(server, {
			closedUntil: now,
			asking: 0,
			...known,
			perSecond,
			namedAt: now,
		});
		dropOldest(this._limits, maxRememberedServers);
		return known?.perSecond === perSecond
			? undefined
			: {kind: 'named', perSecond};
	}

	/** Whether a request may ask for a permission to go to the server; true without a limit. */
	isOpen(server: string, now: number): boolean {
		return this.delayMs(server, now) === 0;
	}

	/** Time until a request may ask for a permission, in milliseconds. */
	delayMs(server: string, now: number): number {
		const limit = this._limits.get(server);
		if (limit === undefined) {
			return 0;
		}

		const {perSecond, closedUntil, asking} = limit;
		const maxAsking = Math.max(1, Math.floor(perSecond * maxLimitAskShare));
		return Math.max(
			0,
			closedUntil - now,
			asking < maxAsking ? 0 : limitAskDelayMs,
		);
	}

	/** Notes that a request asks the owner of the limit. */
	noteAsk(server: string): void {
		this._update(server, ({asking}) => ({asking: asking + 1}));
	}

	/** @param retryAfterMs time until the owner grants the next permission, in milliseconds; 0 if it granted this one */
	noteReply(server: string, retryAfterMs: number, now: number): void {
		this._update(server, ({asking, closedUntil}) => ({
			asking: Math.max(0, asking - 1),
			closedUntil: Math.max(closedUntil, now + retryAfterMs),
		}));
	}

	private _update(
		server: string,
		change: (limit: Limit) => Partial<Limit>,
	): void {
		const limit = this._limits.get(server);
		if (limit !== undefined) {
			this._limits.set(server, {...limit, ...change(limit)});
		}
	}
}
