import type {PlanLine} from '@balsamtray/core';
import type {DocumentFault} from '../document/types.js';

/** Permissions of an operator. The role `change` includes `read`. */
export type OperatorRole = 'read' | 'change';

/** An authenticated operator. */
export type Operator = {
	readonly name: string;
	readonly role: OperatorRole;
};

/** Summary of a change, as shown in the history and in conflicts. */
export type ChangeSummary = {
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	/** Milliseconds since the epoch. */
	readonly writtenAt: number;
	readonly summary: string;
};

/** Outcome of planning a document. */
export type PlanResult =
	| {
			readonly kind: 'planned';
			/** Configuration version on which the plan is based. `apply` takes it as its `baseVersion`. */
			readonly baseVersion: number;
			readonly digest: string;
			readonly lines: readonly PlanLine[];
	  }
	| {readonly kind: 'invalid'; readonly faults: readonly DocumentFault[]};

/** Outcome of a change. */
export type ChangeResult =
	| {
			readonly kind: 'accepted';
			readonly version: number;
			readonly changeId: string;
	  }
	/** The configuration already has the requested state. */
	| {readonly kind: 'unchanged'; readonly version: number}
	/** Another change was accepted first. This one is definitely not accepted. */
	| {readonly kind: 'conflict'; readonly winner: ChangeSummary}
	| {readonly kind: 'invalid'; readonly faults: readonly DocumentFault[]}
	/** The document differs from the one in the trial environment. The change is definitely not accepted. */
	| {
			readonly kind: 'digestMismatch';
			readonly expected: string;
			readonly actual: string;
	  }
	/** The change refers to a customer, key, zone or server that does not exist. */
	| {readonly kind: 'unknownSubject'; readonly subject: string}
	/** The store could not be reached. The change is definitely not accepted. */
	| {
			readonly kind: 'unavailable';
			readonly step: string;
			readonly peer: string;
			readonly message: string;
	  }
	/** The change may or may not have been accepted. If it was, `history` lists its identifier. */
	| {readonly kind: 'outcomeUnknown'; readonly changeId: string};

/** Outcome of issuing a key. */
export type IssueKeyResult = {
	readonly result: ChangeResult;
	readonly keyId: string;
	/** Text of the key. It is returned only here, and only if the change was accepted. */
	readonly key?: string;
};

/** Host counts of one zone, from the platform's host list. */
export type ZoneStatus = {
	readonly zone: string;
	readonly region: string;
	readonly isOut: boolean;
	readonly entries: number;
	readonly agents: number;
	readonly leaving: number;
};

/** State of the fleet as known to one entry. */
export type FleetStatus = {
	readonly process: string;
	readonly environment: string;
	readonly isReady: boolean;
	readonly version: number;
	readonly documentDigest: string;
	readonly customers: number;
	readonly adapters: number;
	readonly routes: number;
	readonly keys: number;
	readonly withdrawnKeys: number;
	readonly drainedServers: readonly string[];
	readonly zones: readonly ZoneStatus[];
};

/** Operations behind the operator calls, implemented by the process that serves them. */
export type OperatorService = {
	plan(text: string): Promise<PlanResult>;
	apply(request: ApplyRequest): Promise<ChangeResult>;
	history(limit: number): Promise<readonly ChangeSummary[]>;
	status(): FleetStatus;
	issueKey(
		author: string,
		changeId: string,
		customer: string,
	): Promise<IssueKeyResult>;
	withdrawKey(
		author: string,
		changeId: string,
		keyId: string,
	): Promise<ChangeResult>;
	setZoneOut(
		author: string,
		changeId: string,
		zone: string,
		isOut: boolean,
	): Promise<ChangeResult>;
	setServerDrained(
		author: string,
		changeId: string,
		server: string,
		isDrained: boolean,
	): Promise<ChangeResult>;
};

/** Request to apply a document. */
export type ApplyRequest = {
	readonly author: string;
	readonly changeId: string;
	/** Canonical JSON of the document. */
	readonly text: string;
	readonly baseVersion: number;
	/** Digest that the document must have, from the trial environment. Absent if the document is not promoted. */
	readonly digest?: string;
};

/** Context of one operator call. */
export type OperatorContext = {
	/** Absent if the key is missing or wrong. */
	readonly operator?: Operator;
	readonly service: OperatorService;
};
