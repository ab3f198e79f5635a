import type {Dispatch, ServerStatus, Usage} from '../agent/types.js';
import type {ConfigChange} from '../config/types.js';
import type {Host} from '../membership/types.js';
import type {Refusal} from '../refusal/types.js';

/** Model or service that the caller requests, taken from a validated HTTP request. */
export type RequestedWork =
	| {
			readonly kind: 'model';
			/** Adapter name, `adapter@version`, or the name of a model route. */
			readonly model: string;
			readonly promptTokens: number;
			readonly maxTokens: number;
	  }
	| {readonly kind: 'service'; readonly route: string};

/** Result of checking a caller's key against the configuration. */
export type Credential =
	| {readonly kind: 'none'}
	| {readonly kind: 'invalid'}
	| {
			readonly kind: 'key';
			readonly keyId: string;
			readonly customer: string;
	  };

/** A caller's request as `EntryCore` sees it. */
export type EntryRequest = {
	readonly requestId: string;
	readonly credential: Credential;
	readonly work: RequestedWork;
	readonly idempotencyKey?: string;
	/** Digest of method, path and body. Also the fingerprint for quarantine. */
	readonly bodyDigest: string;
	/** Time in milliseconds on the entry's clock by which the answer must have started. */
	readonly deadlineAt: number;
	readonly traceparent?: string;
};

/** Result of a claim on an idempotency key. */
export type ClaimResult =
	| {readonly kind: 'granted'}
	| {readonly kind: 'recorded'; readonly outcome: RecordedOutcome}
	| {readonly kind: 'inProgress'; readonly retryAfterMs: number}
	| {readonly kind: 'unknownOutcome'}
	| {readonly kind: 'mismatch'}
	/** The key is known not to be claimed. */
	| {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** Recorded outcome of a non-repeatable call. */
export type RecordedOutcome =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly contentType: string;
			/** Complete body in base64. */
			readonly body: string;
	  }
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Why a dispatch failed without a refusal. */
export type DispatchFault =
	/** The agent did not run it. */
	| {readonly kind: 'notDelivered'}
	/** The agent may have run it. */
	| {readonly kind: 'lost'}
	/** The answer belongs to another attempt. The outcome of this one is unknown. */
	| {readonly kind: 'mismatched'};

/** Input of `EntryCore`. */
export type EntryEvent =
	| {readonly type: 'requestArrived'; readonly request: EntryRequest}
	| {readonly type: 'callerGone'; readonly requestId: string}
	| {readonly type: 'tokensReserved'; readonly requestId: string}
	| {
			readonly type: 'tokensRefused';
			readonly requestId: string;
			/** Milliseconds. Absent if the request exceeds the burst and can never succeed. */
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
			/** Outcome to record. Present for non-repeatable calls. */
			readonly outcome?: RecordedOutcome;
	  }
	| {
			readonly type: 'answerCut';
			readonly attemptId: string;
			/** Whether any byte of the answer was sent to the caller. */
			readonly hasReachedCaller: boolean;
	  }
	/** The entry has a newer version of the configuration. */
	| {readonly type: 'configAdvanced'}
	| {readonly type: 'membershipChanged'; readonly hosts: readonly Host[]}
	| {
			readonly type: 'serverProbed';
			readonly server: string;
			/** Absent when the probe failed. */
			readonly status?: ServerStatus;
	  }
	/** An agent reports the fingerprints that were running on its backend server when it crashed. */
	| {
			readonly type: 'suspectsReported';
			readonly fingerprints: readonly string[];
			readonly bootId: string;
	  }
	| {readonly type: 'shutdownRequested'}
	| {readonly type: 'tick'};

/** Output of `EntryCore`, executed by the daemon. */
export type EntryCommand =
	| {
			readonly type: 'reserveTokens';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** Return tokens that were reserved and not used. */
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
	/** The claimed call did not run. Release its key so that the call can be retried. */
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
	/** The answer is complete. End the relayed stream, or send the answer if it was buffered. */
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
	/** Part of the answer has been sent. End it so that the caller detects that it is incomplete. */
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
	/** Pass configuration changes from an agent to the configuration replica. */
	| {
			readonly type: 'learnChanges';
			readonly changes: readonly ConfigChange[];
	  }
	| {
			readonly type: 'probeServer';
			readonly server: string;
	  }
	| {readonly type: 'drained'};
