import type {Refusal} from '../refusal/types.js';
import type {Admission} from './authorize.js';
import type {EntryRequest} from './types.js';

/** Where an open request stands. */
export type RequestPhase =
	| 'deciding'
	| 'reserving'
	| 'claiming'
	/** An agent knows a newer configuration; the request is decided again once it is here. */
	| 'awaitingConfig'
	/** A suspect waits for a server that runs no other suspect. */
	| 'awaitingServer'
	| 'dispatched'
	| 'answering';

/** A dispatch without an end. */
export type Attempt = {
	readonly id: string;
	readonly server: string;
	readonly subject: string;
	readonly configVersion: number;
	/** The request was a suspect when it was dispatched. */
	readonly isSuspect: boolean;
};

/** Everything that an entry knows of one open request. */
export class RequestState {
	static create(request: EntryRequest): RequestState {
		return new RequestState(request);
	}

	phase: RequestPhase = 'deciding';
	admission: Admission | undefined;
	reservedTokens: number | undefined;
	/** Customer on whose account tokens and claim are. */
	account: string | undefined;
	hasClaim = false;
	attempt: Attempt | undefined;
	attempts = 0;
	failedRuns = 0;
	redecisions = 0;
	/** Configuration version that the request waits for. */
	awaitedVersion = 0;
	/** A back end failed while it ran this request, which may be the cause. */
	isSuspect = false;
	/** Some attempt may have reached a back end. */
	mayHaveRun = false;
	/** The caller has its final answer or went away. The rest settles tokens and claim. */
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

	/** Whether one more run could be a second one of a call that may not be repeated. */
	get mayRunAgain(): boolean {
		return this.isRepeatable || !this.mayHaveRun;
	}
}
