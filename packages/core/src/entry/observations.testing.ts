import type {Dispatch} from '../agent/types.js';
import type {EntryCommand, EntryRequest} from './types.js';

/** Commands that end a request towards its caller. */
export type FinalCommand = Extract<
	EntryCommand,
	{readonly type: 'refuse' | 'finishAnswer' | 'cutAnswer' | 'replayOutcome'}
>;

/** What happened to one request, as an all-seeing observer has it. */
export type Observation = {
	readonly request: EntryRequest;
	readonly isRepeatable: boolean;
	readonly finals: FinalCommand[];
	finalAt: number | undefined;
	startedAt: number | undefined;
	isGone: boolean;
	/** Attempts that a back end really ran. */
	readonly runs: string[];
	readonly dispatches: Dispatch[];
	/** Attempts of which the caller got at least a byte. */
	readonly relayed: Set<string>;
	reserved: number;
	returned: number;
	hasOpenClaim: boolean;
};

/** What happened to all requests, and what must never happen. */
export class Observations {
	static create(): Observations {
		return new Observations();
	}

	/** Violations that were seen as they happened. */
	readonly violations: string[] = [];
	private readonly _byRequest = new Map<string, Observation>();
	private readonly _byAttempt = new Map<string, Observation>();

	get attemptIds(): readonly string[] {
		return [...this._byAttempt.keys()];
	}

	all(): readonly Observation[] {
		return [...this._byRequest.values()];
	}

	of(requestId: string): Observation {
		return this._byRequest.get(requestId)!;
	}

	ofAttempt(attemptId: string): Observation {
		return this._byAttempt.get(attemptId)!;
	}

	add(request: EntryRequest, isRepeatable: boolean): Observation {
		const observation: Observation = {
			request,
			isRepeatable,
			finals: [],
			finalAt: undefined,
			startedAt: undefined,
			isGone: false,
			runs: [],
			dispatches: [],
			relayed: new Set(),
			reserved: 0,
			returned: 0,
			hasOpenClaim: false,
		};
		this._byRequest.set(request.requestId, observation);
		return observation;
	}

	noteDispatch(dispatch: Dispatch): void {
		const observation = this.of(dispatch.requestId);
		observation.dispatches.push(dispatch);
		this._byAttempt.set(dispatch.attemptId, observation);
	}

	noteRun(attemptId: string): void {
		this.ofAttempt(attemptId).runs.push(attemptId);
	}

	noteRelay(requestId: string, attemptId: string, now: number): void {
		const observation = this.of(requestId);
		observation.startedAt ??= now;
		if (this.ofAttempt(attemptId) !== observation) {
			this.violations.push(`${attemptId} was relayed to ${requestId}`);
		}

		if (observation.relayed.size > 0) {
			this.violations.push(`${requestId} got parts of two answers`);
		}
	}

	noteFinal(command: FinalCommand, now: number): void {
		const observation = this.of(command.requestId);
		observation.finals.push(command);
		observation.finalAt = now;
		if (
			command.type === 'finishAnswer' &&
			this.ofAttempt(command.attemptId) !== observation
		) {
			this.violations.push(`${command.requestId} got another's answer`);
		}
	}
}
