import type {ConfigChange} from '../config/types.js';
import {maxAnswerOps, retainedChangeCount} from './constants.js';

/** Log of the latest changes, without gaps, for peers that are behind. */
export class ChangeLog {
	/** Creates an empty log that starts after the version. */
	public static create(version: number): ChangeLog {
		return new ChangeLog(version);
	}

	private _changes: ConfigChange[] = [];

	private constructor(private _lastVersion: number) {}

	/** Appends the change that follows the last one. */
	public push(change: ConfigChange): void {
		this._changes.push(change);
		this._lastVersion = change.version;
		// Trims only at twice the limit, so that the amortized cost per change is constant.
		if (this._changes.length > retainedChangeCount * 2) {
			this._changes = this._changes.slice(-retainedChangeCount);
		}
	}

	/** Clears the log. It restarts after the version of a snapshot. */
	public reset(version: number): void {
		this._changes = [];
		this._lastVersion = version;
	}

	/** All changes after the version, or undefined if the log no longer has some of them. */
	public after(version: number): readonly ConfigChange[] | undefined {
		const first = this._lastVersion - this._changes.length;
		return version < first
			? undefined
			: this._changes.slice(Math.max(0, version - first));
	}

	/**
	 * The first changes after the version, up to the size limit of one answer to a peer. Undefined if the log no longer has
	 * some of them.
	 */
	public pageAfter(version: number): readonly ConfigChange[] | undefined {
		const changes = this.after(version);
		if (changes === undefined) {
			return undefined;
		}

		let opCount = 0;
		const end = changes.findIndex((change, i) => {
			opCount += change.ops.length;
			return i > 0 && opCount > maxAnswerOps;
		});
		return end === -1 ? changes : changes.slice(0, end);
	}
}
