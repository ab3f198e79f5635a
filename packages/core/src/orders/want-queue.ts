import {adapterKey} from '../authority/authority-view.js';
import type {AdapterWant} from '../placement/types.js';
import {
	replicaDeferMs,
	waitingRequestCreditMs,
	wantLifetimeMs,
} from './constants.js';

type QueuedWant = {
	readonly want: AdapterWant;
	readonly firstNotedAt: number;
	readonly lastNotedAt: number;
	/** Time at which an entry last asked for this version or a newer one. */
	readonly versionNotedAt: number;
	/** Time at which an entry last asked for it as an adapter that no engine holds. */
	readonly firstLoadNotedAt: number;
	/** Number of waiting requests that each entry reported, by entry identifier. */
	readonly waiting: ReadonlyMap<string, number>;
};

/** Queue of the adapters that entries want loaded on one engine. Each want expires unless an entry repeats it. */
export class WantQueue {
	static create(): WantQueue {
		return new WantQueue();
	}

	private readonly _wants = new Map<string, QueuedWant>();

	private constructor() {}

	get size(): number {
		return this._wants.size;
	}

	/** @param key `adapterKey` of the adapter */
	has(key: string): boolean {
		return this._wants.has(key);
	}

	/**
	 * Adds a want, or refreshes it if it is already queued. Of several versions, it is for the newest one that an entry
	 * asks for; others may not have heard of that one yet.
	 *
	 * @param from identifier of the entry that reports the want
	 */
	note(want: AdapterWant, from: string, now: number): void {
		const key = adapterKey(want.model, want.adapter);
		const known = this._wants.get(key);
		const waiting = new Map(known?.waiting);
		waiting.set(from, want.waiting ?? 1);
		const isOutdated =
			known !== undefined &&
			want.version < known.want.version &&
			now - known.versionNotedAt < wantLifetimeMs;
		this._wants.set(key, {
			want: isOutdated ? known.want : want,
			firstNotedAt: known?.firstNotedAt ?? now,
			lastNotedAt: now,
			versionNotedAt: isOutdated ? known.versionNotedAt : now,
			firstLoadNotedAt:
				want.isReplica === true
					? (known?.firstLoadNotedAt ?? Number.NEGATIVE_INFINITY)
					: now,
			waiting,
		});
	}

	/** Removes expired and satisfied wants. */
	prune(isSatisfied: (want: AdapterWant) => boolean, now: number): void {
		for (const [key, {want, lastNotedAt}] of this._wants) {
			if (now - lastNotedAt >= wantLifetimeMs || isSatisfied(want)) {
				this._wants.delete(key);
			}
		}
	}

	/** Whether no entry has asked lately for the adapter as one that no engine holds. */
	isReplica({model, adapter}: AdapterWant, now: number): boolean {
		const known = this._wants.get(adapterKey(model, adapter));
		return known !== undefined && isReplica(known, now);
	}

	/**
	 * Whether the load can wait for first loads: no entry has asked lately for the adapter as one that no engine holds, and
	 * the want is not older than `replicaDeferMs`.
	 */
	isDeferrable({model, adapter}: AdapterWant, now: number): boolean {
		const known = this._wants.get(adapterKey(model, adapter));
		return (
			known !== undefined &&
			isReplica(known, now) &&
			now - known.firstNotedAt < replicaDeferMs
		);
	}

	/**
	 * Wants in the order in which they are loaded: by age, plus a credit for each waiting request. Replicas come later by
	 * `replicaDeferMs`.
	 */
	inLoadOrder(now: number): readonly AdapterWant[] {
		return [...this._wants.values()]
			.map(queued => {
				const {want, firstNotedAt, waiting} = queued;
				let count = 0;
				for (const part of waiting.values()) {
					count += part;
				}

				const deferMs = isReplica(queued, now) ? replicaDeferMs : 0;
				return {
					want,
					rank: firstNotedAt + deferMs - count * waitingRequestCreditMs,
				};
			})
			.toSorted((a, b) => a.rank - b.rank)
			.map(({want}) => want);
	}
}

/** Whether an engine holds the adapter by what all entries know that asked for it lately. */
function isReplica({firstLoadNotedAt}: QueuedWant, now: number): boolean {
	return now - firstLoadNotedAt >= wantLifetimeMs;
}
