import type {ServerState} from '../placement/server-state.js';
import type {ServerNeed} from '../placement/types.js';

/** An engine that may run a request, as seen by one entry. */
export type EngineCandidate = {
	readonly server: ServerState;
	/** Estimated time until the prompt may be sent to the engine, in milliseconds. */
	readonly delayMs: number;
	/** 0 in the zone of the entry, 1 elsewhere. */
	readonly zoneDistance: number;
	/** Whether the engine ran the last request of the session, so that it may have cached the prompt. */
	readonly hasSession: boolean;
	/** Time of one step of the engines at the usual pace, in milliseconds. */
	readonly stepMs: number;
};

/** Estimates the cost of running a request on an engine, in milliseconds. The engine with the least cost is chosen. */
export type EngineCost = (
	candidate: EngineCandidate,
	need: ServerNeed,
	now: number,
) => number;
