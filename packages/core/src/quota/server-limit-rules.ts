import type {CustomerRule} from '../authority/types.js';
import {limitStatementLifetimeMs, minLimitPerSecond} from './constants.js';

/** A limit that an entry was told, in requests a second. */
type Statement = {readonly perSecond: number; readonly at: number};

/**
 * Turns limits that servers name into rates like those of customers, so that one entry owns each limit and counts the
 * requests of all. Entries may know different limits while one changes; the least that was told lately counts.
 */
export class ServerLimitRules {
	static create(): ServerLimitRules {
		return new ServerLimitRules();
	}

	/** Statements of the last time, by name. */
	private readonly _statements = new Map<string, readonly Statement[]>();

	private constructor() {}

	/**
	 * @param name as returned by `serverLimitName`
	 * @param perSecond limit that the entry which asks knows, in requests a second
	 */
	ruleFor(name: string, perSecond: number, now: number): CustomerRule {
		const recent = [
			...(this._statements.get(name) ?? []).filter(
				({perSecond: other, at}) =>
					other !== perSecond && now - at < limitStatementLifetimeMs,
			),
			{perSecond, at: now},
		];
		this._statements.delete(name);
		this._statements.set(name, recent);
		this._forgetOld(now);
		const least = Math.min(...recent.map(statement => statement.perSecond));
		const rate = Math.max(minLimitPerSecond, least);
		return {
			name,
			keys: [],
			priority: undefined,
			unitsPerSecond: rate,
			// Within any time, a second's worth more than the limit at most.
			burstUnits: Math.max(1, rate),
			isMeteredInTokens: false,
			plainTokens: 1,
		};
	}

	private _forgetOld(now: number): void {
		for (const [name, statements] of this._statements) {
			if (now - statements.at(-1)!.at < limitStatementLifetimeMs) {
				return;
			}

			this._statements.delete(name);
		}
	}
}

/** Prefix of the names of rates that are limits of servers. */
const serverLimitPrefix = 'server limit ';

/** Name of the rate that is the limit of a server. */
export function serverLimitName(server: string): string {
	return `${serverLimitPrefix}${server}`;
}

/** Whether a rate is the limit of a server, and not that of a customer. */
export function isServerLimit(name: string): boolean {
	return name.startsWith(serverLimitPrefix);
}
