import type {ConfigChange} from '../config/types.js';
import {answerOpCount, retainedChangeCount} from './constants.js';

/** The latest changes, without gaps, to hand to processes that are behind. */
export class ChangeLog {
	/** A log that begins after the version. */
	public static create(version: number): ChangeLog {
		return new ChangeLog(version);
	}

	private _changes: ConfigChange[] = [];

	private constructor(private _lastVersion: number) {}

	/** Adds the next change. */
	public push(change: ConfigChange): void {
		this._changes.push(change);
		this._lastVersion = change.version;
		// Dropped in halves, so that the cost for each change is constant.
		if (this._changes.length > retainedChangeCount * 2) {
			this._changes = this._changes.slice(-retainedChangeCount);
		}
	}

	/** Begins anew after the version of a snapshot. */
	public reset(version: number): void {
		this._changes = [];
		this._lastVersion = version;
	}

	/** All changes after the version, or undefined where some are no longer at hand. */
	public after(version: number): readonly ConfigChange[] | undefined {
		const first = this._lastVersion - this._changes.length;
		return version < first
			? undefined
			: this._changes.slice(Math.max(0, version - first));
	}

	/** The changes next after the version, as many as one answer to a peer may hold. */
	public pageAfter(version: number): readonly ConfigChange[] | undefined {
		const changes = this.after(version);
		if (changes === undefined) {
			return undefined;
		}

		let opCount = 0;
		const end = changes.findIndex((change, i) => {
			opCount += change.ops.length;
			return i > 0 && opCount > answerOpCount;
		});
		return end === -1 ? changes : changes.slice(0, end);
	}
}
