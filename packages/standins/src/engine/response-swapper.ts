import type {AnswerIdentity} from './completion-text.js';

/** Swaps answers between requests, as a faulty engine does. */
export class AnswerCrossing {
	static create(): AnswerCrossing {
		return new AnswerCrossing();
	}

	private readonly _identities = new Map<string, AnswerIdentity>();
	private readonly _crossed: Set<string>;
	private _last: AnswerIdentity | undefined;

	private constructor() {
		this._crossed = new Set();
	}

	/** Notes the true identity of a running request. */
	begin(jobId: string, identity: AnswerIdentity): void {
		this._identities.set(jobId, identity);
	}

	identityOf(jobId: string): AnswerIdentity | undefined {
		return this._identities.get(jobId);
	}

	/** Gives two running requests each other's answers. Returns false if there is no second one yet. */
	cross(jobId: string): boolean {
		const other = [...this._identities.keys()].find(
			id => id !== jobId && !this._crossed.has(id),
		);
		const own = this._identities.get(jobId);
		const others =
			other === undefined ? undefined : this._identities.get(other);
		if (other === undefined || own === undefined || others === undefined) {
			return false;
		}

		this._identities.set(jobId, others);
		this._identities.set(other, own);
		this._crossed.add(jobId).add(other);
		return true;
	}

	/** Gives the request the answer of the one that ended last. Returns false if none has ended yet. */
	giveLate(jobId: string): boolean {
		if (this._last === undefined) {
			return false;
		}

		this._identities.set(jobId, this._last);
		return true;
	}

	end(jobId: string): void {
		this._last = this._identities.get(jobId) ?? this._last;
		this._identities.delete(jobId);
		this._crossed.delete(jobId);
	}
}
