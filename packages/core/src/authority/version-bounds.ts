import type {AuthorityView} from './authority-view.js';
import {versionGraceShare, versionRecallShare} from './constants.js';

/** How far a request has come: it is about to be sent, or it waits at its server and has not begun. */
export type RequestStage = 'sending' | 'waiting';

/** Share of the time limit on older versions for which they are accepted. */
const graceShares: Readonly<Record<RequestStage, number>> = {
	sending: versionGraceShare,
	waiting: versionRecallShare,
};

export type VersionBoundsOptions = {
	readonly authority: Pick<AuthorityView, 'minVersion'>;
	/** Time limit on versions older than an acknowledged one, in milliseconds. */
	readonly versionMs: () => number;
};

/** Says at any moment on which versions of an adapter a request may still begin. Every check of a version comes here. */
export class VersionBounds {
	static create(options: VersionBoundsOptions): VersionBounds {
		return new VersionBounds(options);
	}

	private constructor(private readonly _options: VersionBoundsOptions) {}

	/** Oldest version on which a request may still begin; 0 if it may on any. */
	oldest(
		stage: RequestStage,
		model: string,
		adapter: string,
		now: number,
	): number {
		const {authority} = this._options;
		return authority.minVersion(model, adapter, this._graceMs(stage), now);
	}

	/**
	 * Time until a declared version ends the use of older ones, in milliseconds; not positive if it has.
	 *
	 * @param since monotonic time after which the version was declared, in milliseconds
	 */
	untilEndMs(stage: RequestStage, since: number, now: number): number {
		return this._graceMs(stage) - (now - since);
	}

	private _graceMs(stage: RequestStage): number {
		return this._options.versionMs() * graceShares[stage];
	}
}
