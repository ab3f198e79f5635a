import {
	maxStreamLifetimeMs,
	maxStreamOrigins,
	maxStreamTextLength,
	streamSlackMs,
} from './constants.js';
import type {StreamOrigin} from './types.js';

/** A stream's origin with the time for which it is still kept, in milliseconds. */
export type StreamOriginEntry = {
	readonly id: string;
	readonly origin: StreamOrigin;
	readonly forMs: number;
};

type KeptOrigin = {readonly origin: StreamOrigin; readonly expiresAt: number};

/**
 * Time for which a stream may be resumed, in milliseconds. The caller counts its limit from its first try, but a later
 * try may name the whole limit again.
 *
 * @param limitMs time limit of a try
 */
export function streamLifetimeMs(limitMs: number): number {
	return Math.min(maxStreamLifetimeMs, 2 * limitMs + streamSlackMs);
}

/** Origins of recent streams, by the identifier of the call that brought the first event. */
export class StreamOrigins {
	/** @param maxCount number of origins from which the oldest ones are dropped */
	static create(maxCount = maxStreamOrigins): StreamOrigins {
		return new StreamOrigins(maxCount);
	}

	/** Least recently noted first. */
	private readonly _kept = new Map<string, KeptOrigin>();

	private constructor(private readonly _maxCount: number) {}

	get size(): number {
		return this._kept.size;
	}

	/** Keeps the origin of a stream. The origin that was noted first stays, since the first event decides. */
	note({id, origin, forMs}: StreamOriginEntry, now: number): void {
		if (
			id.length > maxStreamTextLength ||
			origin.softwareVersion.length > maxStreamTextLength
		) {
			return;
		}

		const kept = this._kept.get(id);
		const isKnown = kept !== undefined && kept.expiresAt > now;
		const expiresAt = now + Math.min(forMs, maxStreamLifetimeMs);
		this._kept.delete(id);
		this._kept.set(id, {
			origin: isKnown ? kept.origin : origin,
			expiresAt: isKnown ? Math.max(kept.expiresAt, expiresAt) : expiresAt,
		});
		this._dropOldest(now);
	}

	originOf(id: string, now: number): StreamOrigin | undefined {
		const kept = this._kept.get(id);
		return kept !== undefined && kept.expiresAt > now ? kept.origin : undefined;
	}

	/** Origins that are still kept, for another entry. */
	entries(now: number): readonly StreamOriginEntry[] {
		return [...this._kept]
			.filter(([, {expiresAt}]) => expiresAt > now)
			.map(([id, {origin, expiresAt}]) => ({
				id,
				origin,
				forMs: Math.round(expiresAt - now),
			}));
	}

	private _dropOldest(now: number): void {
		for (const [id, {expiresAt}] of this._kept) {
			if (expiresAt > now && this._kept.size <= this._maxCount) {
				return;
			}

			this._kept.delete(id);
		}
	}
}
