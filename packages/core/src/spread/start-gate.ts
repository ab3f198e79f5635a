import {startPeerCount, startPeerWaitMs} from './constants.js';

/**
 * Decides when a process that has just started may serve: once it has read the store, or,
 * with the store down, once it has reached the highest version that its peers hold.
 */
export class StartGate {
	public static create(now: number): StartGate {
		return new StartGate(now);
	}

	private isOpen = false;
	private isStoreRead = false;
	private isStoreDown = false;
	private readonly answers = new Map<string, number>();

	private constructor(private readonly startedAt: number) {}

	public get isReady(): boolean {
		return this.isOpen;
	}

	public storeRead(): void {
		this.isStoreRead = true;
	}

	public storeFailed(): void {
		this.isStoreDown = true;
	}

	/** Notes a peer's version. A peer that can't serve itself announces 0, which counts for nothing. */
	public peerAnswered(peer: string, version: number): void {
		if (!this.isOpen && version > 0) {
			const known = this.answers.get(peer) ?? 0;
			this.answers.set(peer, Math.max(known, version));
		}
	}

	/** Opens the gate if the process may serve with its version. Returns true at that one time. */
	public tryOpen(version: number, peerCount: number, now: number): boolean {
		if (this.isOpen) {
			return false;
		}

		this.isOpen =
			this.isStoreRead ||
			(this.isStoreDown && this.hasReachedPeers(version, peerCount, now));
		if (this.isOpen) {
			this.answers.clear();
		}

		return this.isOpen;
	}

	private hasReachedPeers(
		version: number,
		peerCount: number,
		now: number,
	): boolean {
		const needed =
			now - this.startedAt < startPeerWaitMs
				? Math.min(startPeerCount, peerCount)
				: 1;
		return (
			this.answers.size >= Math.max(1, needed) &&
			version >= Math.max(...this.answers.values())
		);
	}
}
