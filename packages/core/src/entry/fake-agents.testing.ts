import type {Dispatch, ServerStatus} from '../agent/types.js';
import type {Random} from '../common/random.js';
import {refuseMaybeRun, refuseNotRun} from '../refusal/refusals.js';
import type {RefusalCode} from '../refusal/types.js';
import type {Observations} from './observations.testing.js';
import type {EntryEvent, RecordedOutcome} from './types.js';

const maxHangMs = 6000;
const usage = {promptTokens: 5, completionTokens: 3};

/** Options of `FakeAgents`, provided by the simulation. */
export type FakeAgentsOptions = {
	/** Share of dispatches, 0 to 1, that get a fault. */
	readonly faultShare: number;
	readonly random: Random;
	readonly observations: Observations;
	readonly post: (event: EntryEvent) => void;
	/** Runs the function after a random delay of at most `maxDelayMs`. */
	readonly after: (maxDelayMs: number, run: () => void) => void;
	/** Version of the configuration that agents have. */
	readonly version: () => number;
	/** Gives the entry the configuration that agents have. */
	readonly catchUp: () => void;
};

/** With `crossed`, the entry also gets events of other attempts. */
type AnswerKind = 'complete' | 'cut' | 'crossed';

/** Simulates agents and the network to them, with random faults. */
export class FakeAgents {
	static create(options: FakeAgentsOptions): FakeAgents {
		return new FakeAgents(options);
	}

	private readonly _cancelled = new Set<string>();

	private constructor(private readonly _options: FakeAgentsOptions) {}

	/** Cancels an attempt. The agent notices in time with a probability of one half. */
	cancel(attemptId: string): void {
		this._cancelled.add(attemptId);
	}

	/** Answers or refuses a dispatch, or lets it fail. */
	handleDispatch(dispatch: Dispatch, server: string): void {
		const {attemptId} = dispatch;
		if (dispatch.configVersion < this._options.version()) {
			this._refuse(attemptId, server, 'configuration_behind');
		} else if (this._chance(this._options.faultShare)) {
			const faults = this._faults(dispatch, server);
			faults[Math.floor(this._options.random() * faults.length)]!();
		} else {
			this._answer(dispatch, server, 'complete');
		}
	}

	private _faults(
		dispatch: Dispatch,
		server: string,
	): ReadonlyArray<() => void> {
		const {attemptId} = dispatch;
		return [
			() => {
				this._refuse(attemptId, server, 'overloaded');
			},
			() => {
				this._fail(attemptId, 'notDelivered');
			},
			() => {
				this._fail(attemptId, 'lost');
			},
			() => {
				this._options.observations.noteRun(attemptId);
				this._fail(attemptId, 'lost');
			},
			() => {
				this._options.observations.noteRun(attemptId);
				this._fail(attemptId, 'mismatched');
			},
			() => {
				this._options.observations.noteRun(attemptId);
				this._refuse(attemptId, server, 'backend_failed');
			},
			() => {
				this._answer(dispatch, server, 'cut');
			},
			() => {
				this._answer(dispatch, server, 'crossed');
			},
			() => {
				// The agent hangs. The connection breaks after the run, up to 6 seconds later.
				this._options.after(maxHangMs, () => {
					this._options.observations.noteRun(attemptId);
					this._fail(attemptId, 'lost');
				});
			},
		];
	}

	private _refuse(attemptId: string, server: string, code: RefusalCode): void {
		const details = {step: 'admit', peer: server, retryAfterMs: 5} as const;
		const refusal =
			code === 'backend_failed'
				? refuseMaybeRun(code, details)
				: refuseNotRun(code, details);
		this._options.after(20, () => {
			this._options.post({
				type: 'dispatchRefused',
				attemptId,
				refusal,
				status: statusOf(server),
				changes: [],
			});
			if (code === 'configuration_behind') {
				this._options.catchUp();
			}
		});
	}

	private _fail(
		attemptId: string,
		kind: 'notDelivered' | 'lost' | 'mismatched',
	): void {
		this._options.after(20, () => {
			const fault = {kind};
			this._options.post({type: 'dispatchFailed', attemptId, fault});
		});
	}

	private _answer(
		{attemptId}: Dispatch,
		server: string,
		kind: AnswerKind,
	): void {
		this._options.after(60, () => {
			if (this._cancelled.has(attemptId) && this._chance(0.5)) {
				return;
			}

			this._options.observations.noteRun(attemptId);
			const status = statusOf(server);
			this._options.post({type: 'answerStarted', attemptId, status});
			this._options.after(40, () => {
				this._endAnswer(attemptId, kind);
			});
		});
	}

	private _endAnswer(attemptId: string, kind: AnswerKind): void {
		const {post} = this._options;
		if (kind === 'cut') {
			this._cutAnswer(attemptId);
			return;
		}

		if (kind === 'crossed') {
			this._crossAnswers(attemptId);
		}

		const outcome: RecordedOutcome = {
			kind: 'answered',
			status: 200,
			contentType: 'text/plain',
			body: attemptId,
		};
		post({type: 'answerCompleted', attemptId, usage, outcome});
	}

	private _cutAnswer(attemptId: string): void {
		const hasReachedCaller = this._chance(0.5);
		if (hasReachedCaller) {
			this._options.observations.ofAttempt(attemptId).relayed.add(attemptId);
		}

		this._options.post({type: 'answerCut', attemptId, hasReachedCaller});
	}

	/** Sends events of an unknown attempt and of a request that ended, and completes this attempt twice. */
	private _crossAnswers(attemptId: string): void {
		const {post, observations, random} = this._options;
		const ids = observations.attemptIds;
		const other = ids[Math.floor(random() * ids.length)]!;
		const unknown = `${other}x`;
		const status = statusOf('s0');
		post({type: 'answerStarted', attemptId: unknown, status});
		post({type: 'answerCompleted', attemptId: unknown, usage});
		if (observations.ofAttempt(other).finals.length > 0) {
			post({type: 'answerStarted', attemptId: other, status});
			post({type: 'answerCompleted', attemptId: other, usage});
		}

		post({type: 'answerCompleted', attemptId, usage});
	}

	private _chance(share: number): boolean {
		return this._options.random() < share;
	}
}

/** Returns the status that a fake agent reports. */
export function statusOf(server: string): ServerStatus {
	return {
		server,
		zone: 'z0',
		incarnation: 'i',
		configVersion: 1,
		backend: {kind: 'engine', baseModel: 'base'},
		isAcceptingWork: true,
		running: 0,
		queued: 0,
		window: 8,
		expectedWaitMs: 0,
		adapterState: 'resident',
	};
}
