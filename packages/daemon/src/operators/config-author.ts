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
	readCanonicalDocument,
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
import {fleetStatus} from './fleet-status.js';
import {summarizeDocument} from './summarize-document.js';

/** Tries of a change that loses to changes of other subjects. */
const changeTries = 8;

/** What an author of changes is created from. */
export type ConfigAuthorOptions = {
	/** Identifier of this process. */
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

/** The change that an operator asks for. */
type Draft = {
	readonly author: string;
	readonly changeId: string;
	readonly summary: (state: ConfigState) => string;
	/** The operations against a state, or the reason why there are none. */
	readonly build: (state: ConfigState) => readonly ConfigOp[] | ChangeResult;
};

/** Makes operators' changes and gets them accepted by the store. */
export class ConfigAuthor implements OperatorService {
	static create(options: ConfigAuthorOptions): ConfigAuthor {
		return new ConfigAuthor(options);
	}

	private constructor(private readonly _options: ConfigAuthorOptions) {}

	async plan(text: string): Promise<PlanResult> {
		const result = readCanonicalDocument(text);
		if (result.kind === 'invalid') {
			return result;
		}

		// With the store down the plan is made on what this process has.
		await this._catchUp();
		const state = this._options.config.state();
		const ops = diffDocument(state, result.document, result.digest);
		return {
			kind: 'planned',
			baseVersion: state.version,
			digest: result.digest,
			lines: describeOps(state, ops),
		};
	}

	async apply(req: ApplyRequest): Promise<ChangeResult> {
		const result = readCanonicalDocument(req.text);
		if (result.kind === 'invalid') {
			return result;
		}

		const {document, digest} = result;
		if (req.digest !== undefined && req.digest !== digest) {
			return {kind: 'digestMismatch', expected: req.digest, actual: digest};
		}

		const earlier = await this._checkBase(req);
		if (earlier) {
			return earlier;
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

	async history(limit: number): Promise<readonly ChangeSummary[]> {
		const {config, store} = this._options;
		const after = Math.max(0, config.state().version - limit);
		const changes =
			config.changesAfter(after) ?? (await store.changesAfter(after));
		return changes.map(change => summaryOf(change)).toReversed();
	}

	status(): FleetStatus {
		const {config, environment, id, membership} = this._options;
		return fleetStatus({
			process: id,
			environment,
			isReady: config.isReady(),
			state: config.state(),
			hosts: membership.hosts(),
		});
	}

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
					: unknown(`customer:${customer}`),
		});
		return result.kind === 'accepted'
			? {result, keyId: record.id, key: text}
			: {result, keyId: record.id};
	}

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
					: unknown(`key:${keyId}`);
			},
		});
	}

	async setZone(
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
					return isKnown || isOut ? [] : unknown(`zone:${zone}`);
				}

				if (!isOut) {
					return [{op: 'bringZoneIn', zone}];
				}

				return isKnown ? [{op: 'takeZoneOut', zone}] : unknown(`zone:${zone}`);
			},
		});
	}

	async setServer(
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
					return isKnown || isDrained ? [] : unknown(`server:${server}`);
				}

				if (!isDrained) {
					return [{op: 'undrainServer', server}];
				}

				return isKnown
					? [{op: 'drainServer', server}]
					: unknown(`server:${server}`);
			},
		});
	}

	/** Settles a repeated call, a document that lost to another one, and a base that does not exist. */
	private async _checkBase(
		req: ApplyRequest,
	): Promise<ChangeResult | undefined> {
		const {config, store} = this._options;
		let changes: readonly ConfigChange[];
		try {
			changes = await store.changesAfter(req.baseVersion);
		} catch (error) {
			return unavailable(error);
		}

		const own = changes.find(({changeId}) => changeId === req.changeId);
		if (own) {
			return {
				kind: 'accepted',
				version: own.version,
				changeId: own.changeId,
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

	private _documentConflict(
		baseVersion: number,
		state: ConfigState,
	): ChangeResult | undefined {
		if (state.lastTouched(documentSubject) <= baseVersion) {
			return undefined;
		}

		const winner = this._options.config
			.changesAfter(baseVersion)
			?.findLast(change => touchesDocument(change));
		return winner && {kind: 'conflict', winner: summaryOf(winner)};
	}

	/** Gets a change accepted. It is built anew on each change of others that came first. */
	private async _submit(draft: Draft): Promise<ChangeResult> {
		const {config, telemetry} = this._options;
		let result: ChangeResult | undefined;
		for (let i = 0; i < changeTries; i++) {
			// Each try is based on what the one before it learned.
			// eslint-disable-next-line no-await-in-loop
			const error = await this._catchUp();
			if (error) {
				return unavailable(error);
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
			result = await this._offer(draft, state, ops);
			if (result.kind !== 'conflict') {
				break;
			}
		}

		telemetry.metrics.increment('config.change', {
			outcome: result?.kind ?? 'none',
		});
		return result ?? {kind: 'outcomeUnknown', changeId: draft.changeId};
	}

	private async _offer(
		draft: Draft,
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
				return unavailable(result.error);
			}

			case 'outcomeUnknown': {
				return {kind: 'outcomeUnknown', changeId};
			}
		}
	}

	/** Reads the store's changes. Returns the error where it can't be read. */
	private async _catchUp(): Promise<Error | undefined> {
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

function unknown(subject: string): ChangeResult {
	return {kind: 'unknownSubject', subject};
}

function unavailable(error: unknown): ChangeResult {
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
