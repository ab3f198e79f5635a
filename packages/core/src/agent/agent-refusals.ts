import type {Refusal, RefusalCode, RequestStep} from '../refusal/types.js';
import {
	backendRetryAfterMs,
	loadFailureBackoffMs,
	maxRetryAfterMs,
	minRetryAfterMs,
} from './constants.js';
import type {BackendFault} from './types.js';

/** Creates the refusals of one agent. They have `notRun` set unless the request may have reached the backend server. */
export class AgentRefusals {
	static create(server: string): AgentRefusals {
		return new AgentRefusals(server);
	}

	private constructor(private readonly _peer: string) {}

	withdrawnKey(): Refusal {
		return this._notRun('unauthorized', 'admit', 'The key was withdrawn.');
	}

	zoneOut(): Refusal {
		return this._notRun(
			'zone_out',
			'admit',
			'The availability zone was taken out of service.',
			backendRetryAfterMs,
		);
	}

	serverLeaving(): Refusal {
		return this._notRun(
			'server_leaving',
			'admit',
			'The backend server is leaving.',
			backendRetryAfterMs,
		);
	}

	configurationBehind(): Refusal {
		return this._notRun(
			'configuration_behind',
			'admit',
			'The configuration has changed since the request was routed.',
			minRetryAfterMs,
		);
	}

	wrongBackend(): Refusal {
		return this._notRun(
			'no_server',
			'admit',
			'The request was routed to a backend server that does not serve it.',
			backendRetryAfterMs,
		);
	}

	shuttingDown(): Refusal {
		return this._notRun(
			'shutting_down',
			'admit',
			'The server is shutting down.',
			backendRetryAfterMs,
		);
	}

	backendDown(): Refusal {
		return this._notRun(
			'backend_failed',
			'backend',
			'The backend server is down.',
			backendRetryAfterMs,
		);
	}

	quarantined(forMs: number): Refusal {
		return this._notRun(
			'quarantined',
			'admit',
			'Backend servers died while they ran this request; it is refused for a time.',
			forMs,
		);
	}

	loadFailed(retryAfterMs: number = loadFailureBackoffMs): Refusal {
		return this._notRun(
			'load_failed',
			'load',
			'The adapter could not be loaded.',
			retryAfterMs,
		);
	}

	overloaded(retryAfterMs: number): Refusal {
		return this._notRun(
			'overloaded',
			'queue',
			'Too many requests wait at the backend server.',
			retryAfterMs,
		);
	}

	deadlineUnreachable(retryAfterMs: number): Refusal {
		return this._notRun(
			'deadline_unreachable',
			'queue',
			'The request would not start before its deadline.',
			retryAfterMs,
		);
	}

	deadlineExceeded(retryAfterMs: number): Refusal {
		return this._notRun(
			'deadline_exceeded',
			'queue',
			'The deadline passed before the request could start.',
			retryAfterMs,
		);
	}

	/** The outcome is unknown because the first dispatch of the attempt may have run. */
	repeatedAttempt(): Refusal {
		return this._outcomeUnknown(
			'outcome_unknown',
			'admit',
			'The attempt has reached this server before.',
		);
	}

	/** The backend server is alive but closed the connection before its answer was complete. */
	answerCut(): Refusal {
		return this._outcomeUnknown(
			'answer_cut',
			'answer',
			'The backend server broke off its answer.',
			backendRetryAfterMs,
		);
	}

	fromFault(fault: BackendFault): Refusal {
		switch (fault) {
			case 'unreachable': {
				return this.backendDown();
			}

			case 'rejected': {
				return this._notRun(
					'backend_failed',
					'backend',
					'The backend server did not take the request.',
					backendRetryAfterMs,
				);
			}

			case 'mismatch': {
				return this._outcomeUnknown(
					'answer_mismatch',
					'answer',
					'The backend server answered another request.',
					backendRetryAfterMs,
				);
			}

			case 'connection_lost':
			case 'failed': {
				return this._outcomeUnknown(
					'backend_failed',
					'backend',
					'The backend server failed while it had the request.',
					backendRetryAfterMs,
				);
			}
		}
	}

	private _notRun(
		code: RefusalCode,
		step: RequestStep,
		message: string,
		retryAfterMs?: number,
	): Refusal {
		return {
			code,
			message,
			notRun: true,
			step,
			peer: this._peer,
			...(retryAfterMs !== undefined && {
				retryAfterMs: clampRetryAfter(retryAfterMs),
			}),
		};
	}

	/** Creates a refusal of a request that may have run. */
	private _outcomeUnknown(
		code: RefusalCode,
		step: RequestStep,
		message: string,
		retryAfterMs?: number,
	): Refusal {
		return {
			...this._notRun(code, step, message, retryAfterMs),
			notRun: false,
		};
	}
}

function clampRetryAfter(ms: number): number {
	return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms)));
}
