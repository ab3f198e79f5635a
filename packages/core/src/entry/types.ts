import type {Dispatch, ServerStatus, Usage} from '../agent/types.js';
import type {ConfigChange} from '../config/types.js';
import type {Host} from '../membership/types.js';
import type {Refusal} from '../refusal/types.js';

/** What the caller asks for, after its HTTP form was checked. */
export type RequestedWork =
	| {
			readonly kind: 'model';
			/** Adapter name, `adapter@version`, or the name of a model route. */
			readonly model: string;
			readonly promptTokens: number;
			readonly maxTokens: number;
	  }
	| {readonly kind: 'service'; readonly route: string};

/** Outcome of checking a caller's key against the configuration. */
export type Credential =
	| {readonly kind: 'none'}
	| {readonly kind: 'invalid'}
	| {
			readonly kind: 'key';
			readonly keyId: string;
			readonly customer: string;
	  };

/** A caller's request as the entry's decisions see it. */
export type EntryRequest = {
	readonly requestId: string;
	readonly credential: Credential;
	readonly work: RequestedWork;
	readonly idempotencyKey?: string;
	/** Digest of method, path and body. */
	readonly bodyDigest: string;
	/** Time on the entry's clock by which the answer must have started. */
	readonly deadlineAt: number;
	readonly traceparent?: string;
};

/** Outcome of a claim on an idempotency key. */
export type ClaimResult =
	| {readonly kind: 'granted'}
	| {readonly kind: 'recorded'; readonly outcome: RecordedOutcome}
	| {readonly kind: 'inProgress'; readonly retryAfterMs: number}
	| {readonly kind: 'unknownOutcome'}
	| {readonly kind: 'mismatch'}
	/** Surely not claimed. */
	| {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** The recorded end of a call that may not be repeated. */
export type RecordedOutcome =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly contentType: string;
			/** Whole body, base64. */
			readonly body: string;
	  }
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** How a dispatch ended, other than with a whole answer. */
export type DispatchFault =
	/** The agent surely did not run it. */
	| {readonly kind: 'notDelivered'}
	/** The agent may have run it. */
	| {readonly kind: 'lost'}
	/** The answer belongs to another attempt. What became of this one is unknown. */
	| {readonly kind: 'mismatched'};

/** Input of the entry's decisions. */
export type EntryEvent =
	| {readonly type: 'requestArrived'; readonly request: EntryRequest}
	| {readonly type: 'callerGone'; readonly requestId: string}
	| {readonly type: 'tokensReserved'; readonly requestId: string}
	| {
			readonly type: 'tokensRefused';
			readonly requestId: string;
			readonly retryAfterMs?: number;
	  }
	| {
			readonly type: 'claimSettled';
			readonly requestId: string;
			readonly result: ClaimResult;
	  }
	| {
			readonly type: 'dispatchRefused';
			readonly attemptId: string;
			readonly refusal: Refusal;
			readonly status?: ServerStatus;
			readonly changes: readonly ConfigChange[];
	  }
	| {
			readonly type: 'dispatchFailed';
			readonly attemptId: string;
			readonly fault: DispatchFault;
	  }
	| {
			readonly type: 'answerStarted';
			readonly attemptId: string;
			readonly status: ServerStatus;
	  }
	| {
			readonly type: 'answerCompleted';
			readonly attemptId: string;
			readonly usage: Usage;
			/** Given for calls that may not be repeated, to be recorded. */
			readonly outcome?: RecordedOutcome;
	  }
	| {
			readonly type: 'answerCut';
			readonly attemptId: string;
			/** Whether a byte of the answer went out to the caller. */
			readonly hasReachedCaller: boolean;
	  }
	/** The view of the configuration moved forward. */
	| {readonly type: 'configAdvanced'}
	| {readonly type: 'membershipChanged'; readonly hosts: readonly Host[]}
	| {
			readonly type: 'serverProbed';
			readonly server: string;
			/** Absent when the probe failed. */
			readonly status?: ServerStatus;
	  }
	/** An agent reports the fingerprints that ran on its back end as it died. */
	| {
			readonly type: 'suspectsReported';
			readonly fingerprints: readonly string[];
			readonly bootId: string;
	  }
	| {readonly type: 'shutdownRequested'}
	| {readonly type: 'tick'};

/** Output of the entry's decisions. */
export type EntryCommand =
	| {
			readonly type: 'reserveTokens';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** Give tokens back that were reserved and not used. */
	| {
			readonly type: 'returnTokens';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	| {
			readonly type: 'claim';
			readonly requestId: string;
			readonly customer: string;
			readonly idempotencyKey: string;
			readonly bodyDigest: string;
	  }
	| {
			readonly type: 'recordOutcome';
			readonly requestId: string;
			readonly customer: string;
			readonly idempotencyKey: string;
			readonly outcome: RecordedOutcome;
	  }
	/** The claimed call surely did not run: free its key for a new try. */
	| {
			readonly type: 'releaseClaim';
			readonly requestId: string;
			readonly customer: string;
			readonly idempotencyKey: string;
	  }
	| {
			readonly type: 'dispatch';
			readonly requestId: string;
			readonly server: string;
			readonly dispatch: Dispatch;
	  }
	| {readonly type: 'cancelDispatch'; readonly attemptId: string}
	/** Relay the answer of this attempt to the caller as it arrives. */
	| {
			readonly type: 'relayAnswer';
			readonly requestId: string;
			readonly attemptId: string;
	  }
	/** Read the answer to its end without a caller, to record its outcome. */
	| {
			readonly type: 'collectAnswer';
			readonly requestId: string;
			readonly attemptId: string;
	  }
	/** The relayed answer was whole: end it towards the caller, or send it where it was held until now. */
	| {
			readonly type: 'finishAnswer';
			readonly requestId: string;
			readonly attemptId: string;
	  }
	| {
			readonly type: 'refuse';
			readonly requestId: string;
			readonly refusal: Refusal;
	  }
	/** Part of the answer went out already: end it so that the caller sees that it is not whole. */
	| {
			readonly type: 'cutAnswer';
			readonly requestId: string;
			readonly refusal: Refusal;
	  }
	| {
			readonly type: 'replayOutcome';
			readonly requestId: string;
			readonly outcome: RecordedOutcome;
	  }
	/** Hand changes that an agent sent along to the configuration replica. */
	| {
			readonly type: 'learnChanges';
			readonly changes: readonly ConfigChange[];
	  }
	| {
			readonly type: 'probeServer';
			readonly server: string;
	  }
	| {readonly type: 'drained'};
