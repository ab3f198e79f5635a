import {randomBytes} from 'node:crypto';
import {
	createKey,
	describeOps,
	diffDocument,
	documentSubject,
	subjectOf,
	type ConfigChange,
	type ConfigOp,
	type ConfigState,
} from '@balsamtray/core';
import {
	parseCanonicalDocument,
	type ApplyRequest,
	type ChangeResult,
	type ChangeSummary,
	type FleetStatus,
	type IssueKeyResult,
	type OperatorService,
	type PlanResult,
} from '@balsamtray/protocol';
import type {Clock, MembershipService, Telemetry} from '../common/types.js';
import type {ConfigTask} from '../config/config-task.js';
import type {ConfigStore} from '../store/config-store.js';
import {StoreError} from '../store/store-error.js';
import {createFleetStatus} from './fleet-status.js';
import {summarizeDocument} from './summarize-document.js';

/** Maximum attempts at a change while other changes take its version. */
const maxChangeAttempts = 8;

/** Options of `ConfigAuthor`. */
export type ConfigAuthorOptions = {
	/** Identifier of this entry. */
	readonly id: string;
	readonly environment: string;
	readonly clock: Clock;
	readonly config: Pick<
		ConfigTask,
		'accept' | 'changesAfter' | 'isReady' | 'learn' | 'state'
	>;
	readonly store: Pick<ConfigStore, 'append' | 'changesAfter'>;
	readonly membership: Pick<MembershipService, 'hosts'>;
	readonly telemetry: Pick<Telemetry, 'logger' | 'metrics'>;
};

/** A change that an operator requests. */
type ChangeDraft = {
	readonly author: string;
	readonly changeId: string;
	/** Returns one line for the history. */
	readonly summary: (state: ConfigState) => string;
	/** Returns the operations that make the change to a state, or the result if it can't be made. */
	readonly build: (state: ConfigState) => readonly ConfigOp[] | ChangeResult;
};

/** Turns operators' calls into configuration changes and appends them to the store. */
export class ConfigAuthor implements OperatorService {
	static create(options: ConfigAuthorOptions): ConfigAuthor {
		return new ConfigAuthor(options);
	}

	private constructor(private readonly _options: ConfigAuthorOptions) {}

	/** Returns the differences between the document and the current configuration. Changes nothing. */
	async plan(text: string): Promise<PlanResult> {
		const result = parseCanonicalDocument(text);
		if (result.kind === 'invalid') {
			return result;
		}

		// If the store can't be read, the plan is based on this entry's configuration.
		await this._readNewChanges();
		const state = this._options.config.state();
		const ops = diffDocument(state, result.document, result.digest);
		return {
			kind: 'planned',
			baseVersion: state.version,
			digest: result.digest,
			lines: describeOps(state, ops),
		};
	}

	/** Applies a document unless another document was accepted after the base version. */
	async apply(req: ApplyRequest): Promise<ChangeResult> {
		const result = parseCanonicalDocument(req.text);
		if (result.kind === 'invalid') {
			return result;
		}

		const {document, digest} = result;
		if (req.digest !== undefined && req.digest !== digest) {
			return {kind: 'digestMismatch', expected: req.digest, actual: digest};
		}

		const baseResult = await this._checkBase(req);
		if (baseResult) {
			return baseResult;
		}

		return this._submit({
			author: req.author,
			changeId: req.changeId,
			summary: state =>
				summarizeDocument(digest, diffDocument(state, document, digest)),
			build: state =>
				this._documentConflict(req.baseVersion, state) ??
				diffDocument(state, document, digest),
		});
	}

	/**
	 * Returns the latest changes, newest first.
	 * @throws StoreError if this process no longer keeps them and the store can't be read.
	 */
	async history(limit: number): Promise<readonly ChangeSummary[]> {
		const {config, store} = this._options;
		const after = Math.max(0, config.state().version - limit);
		const changes =
			config.changesAfter(after) ?? (await store.changesAfter(after));
		return changes.map(change => summaryOf(change)).toReversed();
	}

	/** Returns the fleet's status as this entry sees it. */
	status(): FleetStatus {
		const {config, environment, id, membership} = this._options;
		return createFleetStatus({
			process: id,
			environment,
			isReady: config.isReady(),
			state: config.state(),
			hosts: membership.hosts(),
		});
	}

	/** Issues a key to a customer. The key's text is returned only if the change is accepted. */
	async issueKey(
		author: string,
		changeId: string,
		customer: string,
	): Promise<IssueKeyResult> {
		const {text, record} = createKey(
			customer,
			randomBytes,
			this._options.clock(),
		);
		const result = await this._submit({
			author,
			changeId,
			summary: () => `issue key ${record.id} to customer ${customer}`,
			build: state =>
				state.customer(customer)
					? [{op: 'issueKey', key: record}]
					: unknownSubjectResult(`customer:${customer}`),
		});
		return result.kind === 'accepted'
			? {result, keyId: record.id, key: text}
			: {result, keyId: record.id};
	}

	/** Withdraws a key permanently. */
	async withdrawKey(
		author: string,
		changeId: string,
		keyId: string,
	): Promise<ChangeResult> {
		return this._submit({
			author,
			changeId,
			summary: () => `withdraw key ${keyId}`,
			build(state) {
				if (state.isKeyWithdrawn(keyId)) {
					return [];
				}

				return state.key(keyId)
					? [{op: 'withdrawKey', keyId}]
					: unknownSubjectResult(`key:${keyId}`);
			},
		});
	}

	/** Takes an availability zone out of service or brings it back in. */
	async setZoneOut(
		author: string,
		changeId: string,
		zone: string,
		isOut: boolean,
	): Promise<ChangeResult> {
		const isKnown = this._options.membership
			.hosts()
			.some(host => host.zone === zone);
		return this._submit({
			author,
			changeId,
			summary: () =>
				isOut ? `take zone ${zone} out` : `bring zone ${zone} in`,
			build(state) {
				if (state.isZoneOut(zone) === isOut) {
					return isKnown || isOut ? [] : unknownSubjectResult(`zone:${zone}`);
				}

				if (!isOut) {
					return [{op: 'bringZoneIn', zone}];
				}

				return isKnown
					? [{op: 'takeZoneOut', zone}]
					: unknownSubjectResult(`zone:${zone}`);
			},
		});
	}

	/** Drains a backend server or ends its draining. */
	async setServerDrained(
		author: string,
		changeId: string,
		server: string,
		isDrained: boolean,
	): Promise<ChangeResult> {
		const isKnown = this._options.membership
			.hosts()
			.some(host => host.role === 'agent' && host.id === server);
		return this._submit({
			author,
			changeId,
			summary: () => `${isDrained ? 'drain' : 'undrain'} server ${server}`,
			build(state) {
				if (state.isServerDrained(server) === isDrained) {
					return isKnown || isDrained
						? []
						: unknownSubjectResult(`server:${server}`);
				}

				if (!isDrained) {
					return [{op: 'undrainServer', server}];
				}

				return isKnown
					? [{op: 'drainServer', server}]
					: unknownSubjectResult(`server:${server}`);
			},
		});
	}

	/**
	 * Returns a result if the call is a repetition, if another document was accepted after the base version, or if the
	 * base version is unknown. Returns undefined if the document can be applied.
	 */
	private async _checkBase(
		req: ApplyRequest,
	): Promise<ChangeResult | undefined> {
		const {config, store} = this._options;
		let changes: readonly ConfigChange[];
		try {
			changes = await store.changesAfter(req.baseVersion);
		} catch (error) {
			return unavailableResult(error);
		}

		const earlier = changes.find(({changeId}) => changeId === req.changeId);
		if (earlier) {
			return {
				kind: 'accepted',
				version: earlier.version,
				changeId: earlier.changeId,
			};
		}

		const winner = changes.findLast(change => touchesDocument(change));
		if (winner) {
			return {kind: 'conflict', winner: summaryOf(winner)};
		}

		config.learn('store', changes);
		if (changes.length === 0 && req.baseVersion > config.state().version) {
			const message = `version ${req.baseVersion} of the configuration is not known`;
			return {kind: 'invalid', faults: [{path: [], message}]};
		}

		return undefined;
	}

	/** Returns a conflict if another document was accepted after the base version. */
	private _documentConflict(
		baseVersion: number,
		state: ConfigState,
	): ChangeResult | undefined {
		if (state.lastChangeVersion(documentSubject) <= baseVersion) {
			return undefined;
		}

		const winner = this._options.config
			.changesAfter(baseVersion)
			?.findLast(change => touchesDocument(change));
		return winner && {kind: 'conflict', winner: summaryOf(winner)};
	}

	/** Appends a change. If another change takes its version, builds the change again from the new state and retries. */
	private async _submit(draft: ChangeDraft): Promise<ChangeResult> {
		const {config, telemetry} = this._options;
		let result: ChangeResult | undefined;
		for (let i = 0; i < maxChangeAttempts; i++) {
			// Each attempt is based on the changes that made the previous one fail.
			// eslint-disable-next-line no-await-in-loop
			const error = await this._readNewChanges();
			if (error) {
				return unavailableResult(error);
			}

			const state = config.state();
			const ops = draft.build(state);
			if ('kind' in ops) {
				return ops;
			}

			if (ops.length === 0) {
				return {kind: 'unchanged', version: state.version};
			}

			// eslint-disable-next-line no-await-in-loop
			result = await this._append(draft, state, ops);
			if (result.kind !== 'conflict') {
				break;
			}
		}

		telemetry.metrics.increment('config.change', {
			outcome: result?.kind ?? 'none',
		});
		return result ?? {kind: 'outcomeUnknown', changeId: draft.changeId};
	}

	/** Makes one attempt to append a change after the given state. */
	private async _append(
		draft: ChangeDraft,
		state: ConfigState,
		ops: readonly ConfigOp[],
	): Promise<ChangeResult> {
		const {author, changeId} = draft;
		const change: ConfigChange = {
			version: state.version + 1,
			changeId,
			author,
			writtenAt: this._options.clock(),
			summary: draft.summary(state),
			ops,
		};
		const result = await this._options.store.append(change);
		switch (result.kind) {
			case 'accepted': {
				this._options.config.accept(change);
				this._options.telemetry.logger.info('config.accepted', {
					version: change.version,
					changeId,
					author,
					summary: change.summary,
				});
				return {kind: 'accepted', version: change.version, changeId};
			}

			case 'conflict': {
				return {kind: 'conflict', winner: result.winner};
			}

			case 'unavailable': {
				return unavailableResult(result.error);
			}

			case 'outcomeUnknown': {
				return {kind: 'outcomeUnknown', changeId};
			}
		}
	}

	/** Reads the store's new changes into this entry's configuration. Returns the error if that fails. */
	private async _readNewChanges(): Promise<Error | undefined> {
		const {config, store} = this._options;
		if (!config.isReady()) {
			return new Error('this entry has no configuration yet');
		}

		try {
			const changes = await store.changesAfter(config.state().version);
			config.learn('store', changes);
			return undefined;
		} catch (error) {
			return error instanceof Error ? error : new Error('the store failed');
		}
	}
}

function unknownSubjectResult(subject: string): ChangeResult {
	return {kind: 'unknownSubject', subject};
}

function unavailableResult(error: unknown): ChangeResult {
	return {
		kind: 'unavailable',
		step: 'store',
		peer: error instanceof StoreError ? error.peer : 'table service',
		message: error instanceof Error ? error.message : 'the call failed',
	};
}

function touchesDocument(change: ConfigChange): boolean {
	return change.ops.some(op => subjectOf(op) === documentSubject);
}

function summaryOf(change: ConfigChange): ChangeSummary {
	const {version, changeId, author, writtenAt, summary} = change;
	return {version, changeId, author, writtenAt, summary};
}
