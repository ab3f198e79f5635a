import {adapterKey} from '../authority/authority-view.js';
import type {AdapterWant} from '../placement/types.js';
import {waiterWorthMs, wantLifetimeMs} from './constants.js';

type Want = {
	readonly want: AdapterWant;
	readonly firstAt: number;
	readonly lastAt: number;
	/** Requests that wait, by the entry that told of them. */
	readonly waiting: ReadonlyMap<string, number>;
};

/** Adapters that entries want on one engine, in the order in which they are loaded. */
export class WantQueue {
	static create(): WantQueue {
		return new WantQueue();
	}

	private readonly _wants = new Map<string, Want>();

	private constructor() {}

	get size(): number {
		return this._wants.size;
	}

	has(key: string): boolean {
		return this._wants.has(key);
	}

	/** @param from the entry that tells of the want */
	note(want: AdapterWant, from: string, now: number): void {
		const key = adapterKey(want.model, want.adapter);
		const known = this._wants.get(key);
		const waiting = new Map(known?.waiting);
		waiting.set(from, want.waiting ?? 1);
		this._wants.set(key, {
			want,
			firstAt: known?.firstAt ?? now,
			lastAt: now,
			waiting,
		});
	}

	/** Drops wants that nobody repeats, and those that are met. */
	forget(isMet: (want: AdapterWant) => boolean, now: number): void {
		for (const [key, {want, lastAt}] of this._wants) {
			if (now - lastAt >= wantLifetimeMs || isMet(want)) {
				this._wants.delete(key);
			}
		}
	}

	/** Oldest first; each further request that waits makes a want older. */
	ordered(): readonly AdapterWant[] {
		return [...this._wants.values()]
			.map(({want, firstAt, waiting}) => {
				let count = 0;
				for (const part of waiting.values()) {
					count += part;
				}

				return {want, rank: firstAt - count * waiterWorthMs};
			})
			.toSorted((a, b) => a.rank - b.rank)
			.map(({want}) => want);
	}
}
