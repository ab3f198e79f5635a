import {hashString, rendezvousScore} from '../common/rendezvous.js';
import type {AgentHost} from '../membership/types.js';
import {rampMs, rampStartShare} from './constants.js';

const uint32Range = 2 ** 32;

/**
 * Gives zones that return, and servers that are new, a growing share of the subjects that they rank first for.
 * All entries move the same subjects first, so that each adapter is loaded at one place.
 */
export class ReturnRamp {
	static create(): ReturnRamp {
		return new ReturnRamp();
	}

	private readonly _startedAt = new Map<string, number>();

	/** Starts the ramp of a zone or a server. */
	start(zoneOrServer: string, now: number): void {
		this._startedAt.set(zoneOrServer, now);
	}

	/** Whether the server takes work for the subject already. */
	takes(subject: string, host: AgentHost, now: number): boolean {
		if (this._startedAt.size === 0) {
			return true;
		}

		const share = Math.min(
			this._share(`zone:${host.zone}`, now),
			this._share(`server:${host.id}`, now),
		);
		return share >= 1 || positionOf(subject, host.id) < share;
	}

	/** Forgets ramps that are over. */
	prune(now: number): void {
		for (const [name, startedAt] of this._startedAt) {
			if (now - startedAt >= rampMs) {
				this._startedAt.delete(name);
			}
		}
	}

	private _share(name: string, now: number): number {
		const startedAt = this._startedAt.get(name);
		if (startedAt === undefined) {
			return 1;
		}

		return rampStartShare + ((1 - rampStartShare) * (now - startedAt)) / rampMs;
	}
}

/** Place of a subject in a server's ramp, in [0, 1). */
function positionOf(subject: string, server: string): number {
	return rendezvousScore(hashString(server), hashString(subject)) / uint32Range;
}
