import type {Refusal} from '../refusal/types.js';
import type {Admission} from './authorize.js';
import type {EntryRequest} from './types.js';

/** Phase of an open request. */
export type RequestPhase =
	| 'deciding'
	| 'reserving'
	| 'claiming'
	/** An agent has a newer configuration. The request is authorized and routed again once the entry has it too. */
	| 'awaitingConfig'
	/** The request is a suspect and waits for a server that runs no other suspect. */
	| 'awaitingServer'
	| 'dispatched'
	| 'answering';

/** A dispatch that is in flight. */
export type Attempt = {
	readonly id: string;
	readonly server: string;
	readonly subject: string;
	readonly configVersion: number;
	/** Whether the request was a suspect when it was dispatched. */
	readonly isSuspect: boolean;
};

/** State of one open request. */
export class RequestState {
	static create(request: EntryRequest): RequestState {
		return new RequestState(request);
	}

	phase: RequestPhase = 'deciding';
	admission: Admission | undefined;
	reservedTokens: number | undefined;
	/** Customer whose tokens are reserved and whose idempotency key is claimed. */
	billedCustomer: string | undefined;
	hasClaim = false;
	attempt: Attempt | undefined;
	/** Dispatches so far. */
	attempts = 0;
	/** Failed attempts that count towards `maxFailedRuns`. */
	failedRuns = 0;
	/** Refusals because an agent had a newer configuration. */
	configRetries = 0;
	/** Configuration version that the request waits for. */
	awaitedVersion = 0;
	/** Whether a backend server failed while it ran this request, which may have caused the failure. */
	isSuspect = false;
	/** Whether at least one attempt may have reached a backend server. */
	mayHaveRun = false;
	/** Whether the caller has its final answer or has disconnected. Only tokens and claim remain to be settled. */
	isAnswered = false;
	lastRefusal: Refusal | undefined;
	readonly triedServers = new Set<string>();

	private constructor(readonly request: EntryRequest) {}

	get id(): string {
		return this.request.requestId;
	}

	get isRepeatable(): boolean {
		return !this.hasClaim && (this.admission?.resolved.isRepeatable ?? true);
	}

	/** Whether another attempt can't cause a second run of a non-repeatable call. */
	get canRunAgain(): boolean {
		return this.isRepeatable || !this.mayHaveRun;
	}
}
