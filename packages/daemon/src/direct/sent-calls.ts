import type {Disposable} from '../common/types.js';

/** A request for an adapter that was sent to a server and has not begun there as far as this entry knows. */
export type SentCall = {
	readonly model: string;
	readonly adapter: string;
	/** Returns the version of the adapter that the server is known to hold; undefined if unknown. */
	readonly heldVersion: () => number | undefined;
	/** Takes the request back from the server. */
	readonly recall: () => void;
};

/** Requests that were sent and have not begun. Those on a version that may no longer be used are taken back. */
export class SentCalls {
	static create(): SentCalls {
		return new SentCalls();
	}

	private readonly _calls = new Set<SentCall>();

	private constructor() {}

	/** Adds a request until it begins or ends, when the caller disposes of the entry. */
	add(call: SentCall): Disposable {
		this._calls.add(call);
		return {
			dispose: () => {
				this._calls.delete(call);
			},
		};
	}

	/**
	 * Takes back the requests at servers that hold too old a version, or an unknown one.
	 *
	 * @param minVersion returns the oldest version of an adapter on which requests may begin; 0 if any may
	 */
	recallOutdated(minVersion: (model: string, adapter: string) => number): void {
		for (const {model, adapter, heldVersion, recall} of this._calls) {
			if ((heldVersion() ?? 0) < minVersion(model, adapter)) {
				recall();
			}
		}
	}
}
