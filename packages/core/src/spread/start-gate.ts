import {startPeerCount, startPeerWaitMs} from './constants.js';

/**
 * Decides when a process that has just started may serve: once it has read the store, or,
 * with the store down, once it has reached the highest version that its peers hold.
 */
export class StartGate {
	public static create(now: number): StartGate {
		return new StartGate(now);
	}

	private _isOpen = false;
	private _isStoreRead = false;
	private _isStoreDown = false;
	private readonly _answers = new Map<string, number>();

	private constructor(private readonly _startedAt: number) {}

	public get isReady(): boolean {
		return this._isOpen;
	}

	public storeRead(): void {
		this._isStoreRead = true;
	}

	public storeFailed(): void {
		this._isStoreDown = true;
	}

	/** Notes a peer's version. A peer that can't serve itself announces 0, which counts for nothing. */
	public peerAnswered(peer: string, version: number): void {
		if (!this._isOpen && version > 0) {
			const known = this._answers.get(peer) ?? 0;
			this._answers.set(peer, Math.max(known, version));
		}
	}

	/** Opens the gate if the process may serve with its version. Returns true at that one time. */
	public tryOpen(version: number, peerCount: number, now: number): boolean {
		if (this._isOpen) {
			return false;
		}

		this._isOpen =
			this._isStoreRead ||
			(this._isStoreDown && this._hasReachedPeers(version, peerCount, now));
		if (this._isOpen) {
			this._answers.clear();
		}

		return this._isOpen;
	}

	private _hasReachedPeers(
		version: number,
		peerCount: number,
		now: number,
	): boolean {
		const needed =
			now - this._startedAt < startPeerWaitMs
				? Math.min(startPeerCount, peerCount)
				: 1;
		return (
			this._answers.size >= Math.max(1, needed) &&
			version >= Math.max(...this._answers.values())
		);
	}
}
