import type {CompletionIdentity} from './completion-text.js';

/** Simulates an engine that sends responses to the wrong requests. */
export class ResponseSwapper {
	static create(): ResponseSwapper {
		return new ResponseSwapper();
	}

	private readonly _identities = new Map<string, CompletionIdentity>();
	private readonly _swapped: Set<string>;
	private _lastEnded: CompletionIdentity | undefined;

	private constructor() {
		this._swapped = new Set();
	}

	/** Registers a request that starts, with its own identity. */
	begin(jobId: string, identity: CompletionIdentity): void {
		this._identities.set(jobId, identity);
	}

	/** Returns the identity that the request's response shows, or undefined if the request has ended. */
	identityOf(jobId: string): CompletionIdentity | undefined {
		return this._identities.get(jobId);
	}

	/** Swaps the responses of this request and another running one. Returns false if no other unswapped request runs. */
	swap(jobId: string): boolean {
		const otherId = [...this._identities.keys()].find(
			id => id !== jobId && !this._swapped.has(id),
		);
		const ownIdentity = this._identities.get(jobId);
		const otherIdentity =
			otherId === undefined ? undefined : this._identities.get(otherId);
		if (
			otherId === undefined ||
			ownIdentity === undefined ||
			otherIdentity === undefined
		) {
			return false;
		}

		this._identities.set(jobId, otherIdentity);
		this._identities.set(otherId, ownIdentity);
		this._swapped.add(jobId).add(otherId);
		return true;
	}

	/** Gives the request the response of the one that ended last. Returns false if none has ended yet. */
	replayLastEnded(jobId: string): boolean {
		if (this._lastEnded === undefined) {
			return false;
		}

		this._identities.set(jobId, this._lastEnded);
		return true;
	}

	end(jobId: string): void {
		this._lastEnded = this._identities.get(jobId) ?? this._lastEnded;
		this._identities.delete(jobId);
		this._swapped.delete(jobId);
	}
}
