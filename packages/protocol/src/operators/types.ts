import type {PlanLine} from '@balsamtray/core';
import type {DocumentFault} from '../document/types.js';

/** What an operator may do. The role `change` includes `read`. */
export type OperatorRole = 'read' | 'change';

/** An operator whose key was checked. */
export type Operator = {
	readonly name: string;
	readonly role: OperatorRole;
};

/** A change as history and conflicts name it. */
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
			/** Version on which the plan is based, to be handed to `apply`. */
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
	/** Nothing was to be changed. */
	| {readonly kind: 'unchanged'; readonly version: number}
	/** Another operator's change came first. Surely not accepted. */
	| {readonly kind: 'conflict'; readonly winner: ChangeSummary}
	| {readonly kind: 'invalid'; readonly faults: readonly DocumentFault[]}
	/** The document is not the one that was tried. Surely not accepted. */
	| {
			readonly kind: 'digestMismatch';
			readonly expected: string;
			readonly actual: string;
	  }
	/** The change names a customer or key that does not exist. */
	| {readonly kind: 'unknownSubject'; readonly subject: string}
	/** Surely not accepted, as the store could not be reached. */
	| {
			readonly kind: 'unavailable';
			readonly step: string;
			readonly peer: string;
			readonly message: string;
	  }
	/** The change may or may not have been accepted. `history` shows it by its identifier. */
	| {readonly kind: 'outcomeUnknown'; readonly changeId: string};

/** Outcome of issuing a key. */
export type IssueKeyResult = {
	readonly result: ChangeResult;
	readonly keyId: string;
	/** Text of the key, shown this once. Given only when the change was accepted. */
	readonly key?: string;
};

/** Hosts of one zone, as the platform's list shows them. */
export type ZoneStatus = {
	readonly zone: string;
	readonly region: string;
	readonly isOut: boolean;
	readonly entries: number;
	readonly agents: number;
	readonly leaving: number;
};

/** What one entry knows of the fleet. */
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

/** What the operators' calls need from the process that serves them. */
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
	setZone(
		author: string,
		changeId: string,
		zone: string,
		isOut: boolean,
	): Promise<ChangeResult>;
	setServer(
		author: string,
		changeId: string,
		server: string,
		isDrained: boolean,
	): Promise<ChangeResult>;
};

/** A document to be applied. */
export type ApplyRequest = {
	readonly author: string;
	readonly changeId: string;
	/** Canonical JSON of the document. */
	readonly text: string;
	readonly baseVersion: number;
	/** Digest that the document must have, where it was tried elsewhere. */
	readonly digest?: string;
};

/** Context of one operator's call. */
export type OperatorContext = {
	/** Absent when the key is missing or wrong. */
	readonly operator?: Operator;
	readonly service: OperatorService;
};
