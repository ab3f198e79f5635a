/** Input of an entry's rate decisions. */
export type RateEvent =
	/** A request wants tokens. */
	| {
			readonly type: 'reserveRequested';
			readonly requestId: string;
			readonly customer: string;
			readonly tokens: number;
			/** Longest wait for tokens from other holders, in milliseconds. */
			readonly patienceMs: number;
	  }
	| {
			readonly type: 'tokensReturned';
			readonly customer: string;
			readonly tokens: number;
	  }
	/** Another entry asks this holder for tokens. */
	| {
			readonly type: 'transferRequested';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** Another holder's answer. Zero tokens: it has none to spare. */
	| {
			readonly type: 'transferArrived';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			/** When that holder expects to have tokens, in milliseconds. */
			readonly retryAfterMs?: number;
	  }
	| {
			readonly type: 'transferFailed';
			readonly peer: string;
			readonly transferId: string;
	  }
	/** The store confirmed the host's lease. */
	| {
			readonly type: 'leaseGranted';
			readonly epoch: number;
			/** Monotonic time of this process until which the lease surely holds. */
			readonly validUntil: number;
			/** Entries that hold a lease at present, this one included. */
			readonly holders: readonly RateHolder[];
	  }
	| {readonly type: 'leaseLost'}
	| {readonly type: 'tick'};

/** An entry host that may hold part of customers' rates. */
export type RateHolder = {
	readonly id: string;
	readonly zone: string;
	readonly region: string;
	readonly epoch: number;
};

/** Output of an entry's rate decisions. */
export type RateCommand =
	| {readonly type: 'reserved'; readonly requestId: string}
	| {
			readonly type: 'reserveRefused';
			readonly requestId: string;
			/** Absent when the request is larger than the customer's burst. */
			readonly retryAfterMs?: number;
	  }
	| {
			readonly type: 'requestTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
	  }
	/** Answer to another entry. The tokens were deducted already. */
	| {
			readonly type: 'sendTransfer';
			readonly peer: string;
			readonly transferId: string;
			readonly customer: string;
			readonly tokens: number;
			readonly retryAfterMs?: number;
	  }
	| {readonly type: 'renewLease'}
	| {readonly type: 'releaseLease'};
