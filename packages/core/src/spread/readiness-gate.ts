import {startupPeerCount, startupPeerWaitMs} from './constants.js';

/**
 * Decides when a process that has just started is ready to serve: once it has read the store, or,
 * if the store is down, once it has reached the highest version that its peers announced.
 */
export class ReadinessGate {
	public static create(now: number): ReadinessGate {
		return new ReadinessGate(now);
	}

	private _isOpen = false;
	private _isStoreRead = false;
	private _isStoreDown = false;
	private readonly _peerVersions = new Map<string, number>();

	private constructor(private readonly _startedAt: number) {}

	public get isReady(): boolean {
		return this._isOpen;
	}

	public noteStoreRead(): void {
		this._isStoreRead = true;
	}

	public noteStoreFailure(): void {
		this._isStoreDown = true;
	}

	/** Records the version that a peer announced. Peers that are not ready announce 0, which is ignored. */
	public notePeerVersion(peer: string, version: number): void {
		if (!this._isOpen && version > 0) {
			const known = this._peerVersions.get(peer) ?? 0;
			this._peerVersions.set(peer, Math.max(known, version));
		}
	}

	/** Opens the gate if the process is ready with its version. Returns true only on the call that opens it. */
	public tryOpen(version: number, peerCount: number, now: number): boolean {
		if (this._isOpen) {
			return false;
		}

		this._isOpen =
			this._isStoreRead ||
			(this._isStoreDown && this._hasReachedPeers(version, peerCount, now));
		if (this._isOpen) {
			this._peerVersions.clear();
		}

		return this._isOpen;
	}

	private _hasReachedPeers(
		version: number,
		peerCount: number,
		now: number,
	): boolean {
		const needed =
			now - this._startedAt < startupPeerWaitMs
				? Math.min(startupPeerCount, peerCount)
				: 1;
		return (
			this._peerVersions.size >= Math.max(1, needed) &&
			version >= Math.max(...this._peerVersions.values())
		);
	}
}
