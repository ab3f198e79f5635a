import {
	maxRelayedContributions,
	minContributionIntervalMs,
} from './constants.js';
import type {Contribution, ContributionAck} from './types.js';

/** The other collector. `token` is that of the holder; undefined if it is the successor. */
export type RelayTarget = {
	readonly host: string;
	readonly token: number | undefined;
};

/**
 * Decides when a collector passes counts of processes that have ended on to the other collector, which may be new. Nobody else
 * has them: a holder that was killed may hold the duty again after its restart, with empty memory.
 */
export class ContributionRelay {
	static create(): ContributionRelay {
		return new ContributionRelay();
	}

	private _target: RelayTarget | undefined;
	/** Start of the target's process; undefined before its first acknowledgement. */
	private _born: number | undefined;
	private _sentAt = Number.NEGATIVE_INFINITY;
	/** Totals that the target has acknowledged, by host, process and window. */
	private readonly _acknowledged = new Map<string, number>();

	private constructor() {}

	/**
	 * Returns the contributions that are due.
	 *
	 * @param ended contributions of processes that have ended
	 * @param now monotonic time in milliseconds
	 */
	due(
		target: RelayTarget,
		ended: readonly Contribution[],
		now: number,
	): readonly Contribution[] {
		if (
			target.host !== this._target?.host ||
			target.token !== this._target.token
		) {
			this._target = target;
			this._born = undefined;
			this._acknowledged.clear();
			this._sentAt = Number.NEGATIVE_INFINITY;
		}

		if (now - this._sentAt < minContributionIntervalMs) {
			return [];
		}

		const due = ended
			.map(contribution => ({
				...contribution,
				windows: contribution.windows.filter(
					({window, closedTotal}) =>
						(this._acknowledged.get(keyOf(contribution, window)) ?? -1) <
						(closedTotal ?? 0),
				),
			}))
			.filter(({windows}) => windows.length > 0)
			.slice(0, maxRelayedContributions);
		if (due.length > 0) {
			this._sentAt = now;
		}

		return due;
	}

	onAcknowledged({from, fromBorn, totals, ...process}: ContributionAck): void {
		if (from !== this._target?.host) {
			return;
		}

		if (this._born !== fromBorn) {
			this._born = fromBorn;
			this._acknowledged.clear();
		}

		for (const [window, total] of totals) {
			this._acknowledged.set(keyOf(process, window), total);
		}
	}
}

function keyOf(
	{host, born}: {readonly host: string; readonly born: number},
	window: number,
): string {
	return `${host}/${born}/${window}`;
}
