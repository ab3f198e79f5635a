import {silenceTimeoutMs} from '@balsamtray/core';
import {maxLeftExposures, leftExposureLifetimeMs} from './constants.js';

/** A start of a server. */
export type ServerStart = {
	readonly server: string;
	/** Time of the start, in milliseconds since the epoch; 0 if unknown. */
	readonly born: number;
};

/** A request with shared parts in its prompt that was sent to a server. */
export type ExposedCall = {
	readonly parts: readonly string[];
	readonly start: ServerStart;
	/** Takes the request back from the server, as it may crash the server. */
	readonly recall: () => void;
};

/** Why an answer counts as interrupted by the end of its server. */
export type InterruptionEvidence = 'broke' | 'silent' | 'left' | 'restarted';

/** Handles of a request at a server, to be called until one of them ends it. */
export type PartExposure = {
	/** The server began to answer. */
	readonly onHead: () => void;
	/** The answer went on beyond its beginning. Ends the exposure. */
	readonly onProgress: () => void;
	/** The connection broke. Ends the exposure. */
	readonly onBroke: () => void;
	/** The request was given up, so nothing more is heard of its answer. Ends the exposure. */
	readonly onLeft: () => void;
	/** The server did not run the request, or it says nothing about the parts. Ends the exposure. */
	readonly dispose: () => void;
};

export type PartExposuresOptions = {
	readonly clock: () => number;
	/** Whether a start of a server is known to be over. */
	readonly hasEnded: (start: ServerStart) => boolean;
	/** Whether nothing is heard of a server. */
	readonly isSilent: (server: string, now: number) => boolean;
	/** @param begunAt time at which the answer began */
	readonly onInterrupted: (
		call: ExposedCall,
		evidence: InterruptionEvidence,
		begunAt: number,
		now: number,
	) => void;
	/** @param begunAt time at which the answer began */
	readonly onProgress: (
		call: ExposedCall,
		begunAt: number,
		now: number,
	) => void;
};

type Exposure = {
	readonly call: ExposedCall;
	headAt: number | undefined;
	isInterrupted: boolean;
};

/**
 * Requests with shared parts whose answers have not gone on yet. Tells which of them the end of their server interrupted. A
 * request of which no answer has begun is no evidence: a server that ends has many of these, whatever ended it.
 */
export class PartExposures {
	static create(options: PartExposuresOptions): PartExposures {
		return new PartExposures(options);
	}

	private readonly _open = new Set<Exposure>();
	/** Requests that were given up before their answer went on, oldest first. */
	private readonly _left = new Map<Exposure, number>();

	private constructor(private readonly _options: PartExposuresOptions) {}

	/** Adds a request that is sent now. */
	add(call: ExposedCall): PartExposure {
		const {clock, onProgress} = this._options;
		const exposure: Exposure = {
			call,
			headAt: undefined,
			isInterrupted: false,
		};
		this._open.add(exposure);
		const end = () => this._open.delete(exposure);
		return {
			onHead() {
				exposure.headAt ??= clock();
			},
			onProgress() {
				if (end()) {
					const now = clock();
					onProgress(call, exposure.headAt ?? now, now);
				}
			},
			onBroke: () => {
				if (end()) {
					this._interrupt(exposure, 'broke', clock());
				}
			},
			onLeft: () => {
				if (end()) {
					this._leave(exposure, clock());
				}
			},
			dispose() {
				end();
			},
		};
	}

	/** Looks for servers that ended without breaking their connections. Runs several times per second. */
	check(now: number): void {
		const {hasEnded, isSilent} = this._options;
		for (const exposure of this._open) {
			const {call, headAt = now} = exposure;
			if (hasEnded(call.start)) {
				this._interrupt(exposure, 'restarted', now);
			} else if (
				now - headAt >= silenceTimeoutMs &&
				isSilent(call.start.server, now)
			) {
				this._interrupt(exposure, 'silent', now);
			}
		}

		for (const [exposure, leftAt] of this._left) {
			if (now - leftAt >= leftExposureLifetimeMs) {
				this._left.delete(exposure);
			} else if (hasEnded(exposure.call.start)) {
				this._left.delete(exposure);
				this._interrupt(exposure, 'restarted', now);
			}
		}
	}

	/** Takes back the requests with one of the parts. */
	recall(parts: ReadonlySet<string>): void {
		for (const {call, isInterrupted} of this._open) {
			if (!isInterrupted && call.parts.some(part => parts.has(part))) {
				call.recall();
			}
		}
	}

	/** An answer that began and stayed silent until it was given up counts as interrupted at once. */
	private _leave(exposure: Exposure, now: number): void {
		const {headAt, isInterrupted} = exposure;
		if (isInterrupted || headAt === undefined) {
			return;
		}

		if (now - headAt >= silenceTimeoutMs) {
			this._interrupt(exposure, 'left', now);
			return;
		}

		this._left.set(exposure, now);
		for (const oldest of this._left.keys()) {
			if (this._left.size <= maxLeftExposures) {
				return;
			}

			this._left.delete(oldest);
		}
	}

	private _interrupt(
		exposure: Exposure,
		evidence: InterruptionEvidence,
		now: number,
	): void {
		const {call, headAt, isInterrupted} = exposure;
		if (!isInterrupted && headAt !== undefined) {
			exposure.isInterrupted = true;
			this._options.onInterrupted(call, evidence, headAt, now);
		}
	}
}
