import type {Dispatch} from '../agent/types.js';
import type {EntryCommand, EntryRequest} from './types.js';

/** Commands that send the final outcome to a caller. */
export type FinalCommand = Extract<
	EntryCommand,
	{readonly type: 'refuse' | 'finishAnswer' | 'cutAnswer' | 'replayOutcome'}
>;

/** What happened to one request, observed from outside the entry. */
export type Observation = {
	readonly request: EntryRequest;
	readonly isRepeatable: boolean;
	readonly finals: FinalCommand[];
	/** Virtual time of the final outcome, in milliseconds. */
	finalAt: number | undefined;
	/** Virtual time at which the answer started, in milliseconds. */
	startedAt: number | undefined;
	/** Whether the caller disconnected before the final outcome. */
	isCallerGone: boolean;
	/** IDs of attempts that a backend server ran. */
	readonly runs: string[];
	readonly dispatches: Dispatch[];
	/** IDs of attempts from which the caller got at least one byte. */
	readonly relayed: Set<string>;
	reserved: number;
	returned: number;
	hasOpenClaim: boolean;
};

/** Records what happened to all requests, and violations of the rules. */
export class Observations {
	static create(): Observations {
		return new Observations();
	}

	/** Violations, in the order in which they happened. */
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
			isCallerGone: false,
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
			this.violations.push(
				`${command.requestId} got the answer of another request`,
			);
		}
	}
}
