import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {checkKey, refuseNotRun} from '@balsamtray/core';
import type {FastifyInstance, FastifyRequest} from 'fastify';
import {ClaimTask} from '../claims/claim-task.js';
import {CallersRoutes} from '../entry/callers-routes.js';
import {EntryTask} from '../entry/entry-task.js';
import {errorResponse} from '../entry/error-body.js';
import {CallerIntake} from '../intake/caller-intake.js';
import {ClosedConnections} from '../intake/closed-connections.js';
import {readHostCapacity} from '../intake/host-capacity.js';
import {ServerGuard, type GuardedRequest} from '../intake/server-guard.js';
import {ConfigAuthor} from '../operators/config-author.js';
import {OperatorsApi} from '../operators/operators-api.js';
import {RateTask} from '../rate/rate-task.js';
import {TrpcRatePeers} from '../rate/trpc-rate-peers.js';
import {operatorKeys, type OperatorKey} from '../settings/schemas.js';
import type {EntryProcessSettings} from '../settings/settings.js';
import {listen} from '../transport/transport.js';
import {createPeerServer} from './peer-server.js';
import {createProcessBase, type ProcessBase} from './process-base.js';
import {waitForStop} from './signals.js';

/** Timeout of a rate call to another entry, in milliseconds. */
const rateCallTimeoutMs = 1000;

/** Maximum time that shutdown waits until ended claims are stored, in milliseconds. */
const maxClaimWaitMs = 5000;

const mebibyte = 1024 * 1024;

/** Maximum body of an operator's request, in bytes. A document with all adapters fits. */
const operatorBodyLimitBytes = 64 * mebibyte;

/** Process of the role entry, which serves callers, operators and other processes of the system. */
export class EntryProcess {
	static create(settings: EntryProcessSettings): EntryProcess {
		return new EntryProcess(settings);
	}

	private readonly _base: ProcessBase;
	private readonly _rate: RateTask;
	private readonly _claims: ClaimTask;
	private readonly _entry: EntryTask;
	private readonly _operatorKeys: readonly OperatorKey[];
	private readonly _intake: CallerIntake<GuardedRequest>;

	private constructor(private readonly _settings: EntryProcessSettings) {
		this._operatorKeys = readOperatorKeys(_settings);
		this._base = createProcessBase(_settings);
		this._rate = this._createRate();
		this._claims = this._createClaims();
		this._entry = this._createEntry();
		this._intake = this._createIntake();
	}

	/** Runs until a signal stops the process. */
	async run(): Promise<void> {
		const {membership, config, telemetry} = this._base;
		const {logger} = telemetry;
		const peers = await this._createPeerServer();
		await listen(peers, this._settings.peerListen);
		const operators = await this._createOperatorsServer();
		await listen(operators, this._settings.operatorListen);
		const callers = this._createCallersServer();
		const address = await listen(callers, this._settings.listen);
		logger.info('entry.listening', {address});
		await membership.start();
		await config.start();
		void this._serveWhenReady();
		await waitForStop(
			{
				drain: async () => {
					logger.info('entry.draining');
					await this._entry.drain();
				},
				abort() {
					logger.warn('entry.aborting');
				},
			},
			this._settings.shutdownGraceMs,
		);
		this._entry.stop();
		await callers.close();
		await operators.close();
		await this._claims.stop(maxClaimWaitMs);
		// The peer port stays open until then: other entries request tokens of this entry's shards until it releases them.
		await this._rate.stop();
		await peers.close();
		logger.info('entry.stopped');
		await this._base.close();
	}

	private async _serveWhenReady(): Promise<void> {
		const {config, telemetry} = this._base;
		await config.ready();
		await this._rate.start();
		await this._claims.start();
		this._entry.start();
		telemetry.logger.info('entry.ready', {
			configVersion: config.view().version,
		});
	}

	private _createRate(): RateTask {
		const {incarnation, table, config, membership, telemetry, transport} =
			this._base;
		const {hostId, zone, region, environment, peerListen} = this._settings;
		return RateTask.create({
			self: {id: hostId, zone, region},
			incarnation,
			peerAddress: `${peerListen.address}:${peerListen.port}`,
			environment,
			table,
			peers: TrpcRatePeers.create({
				peerUrl: address => transport.peerUrl(address),
				peerDispatcher: () => transport.peerDispatcher(),
				timeoutMs: rateCallTimeoutMs,
			}),
			config,
			membership,
			telemetry,
			clocks: {monotonic: () => performance.now(), wall: Date.now},
		});
	}

	private _createClaims(): ClaimTask {
		const {table, objects, telemetry} = this._base;
		const {hostId, environment} = this._settings;
		return ClaimTask.create({
			entryId: hostId,
			environment,
			table,
			objects,
			telemetry,
			clock: Date.now,
		});
	}

	private _createEntry(): EntryTask {
		const {config, membership, telemetry, transport, peerClient} = this._base;
		const {hostId, region, deadlineMs} = this._settings;
		return EntryTask.create({
			hostId,
			region,
			deadlineMs,
			rate: this._rate,
			claims: this._claims,
			config,
			membership,
			telemetry,
			clock: Date.now,
			checkKey,
			dispatcher: () => transport.peerDispatcher(),
			peerUrl: address => transport.peerUrl(address),
			probe: async address => peerClient.probe(address),
		});
	}

	/** Bounds what callers and operators together make this process keep. */
	private _createIntake(): CallerIntake<GuardedRequest> {
		const {telemetry} = this._base;
		const {hostMemoryBytes, bodyLimitBytes} = this._settings;
		const closed = ClosedConnections.create({
			onClosed(reason) {
				telemetry.metrics.increment('entry.connection_closed', {reason});
			},
			onSummary(reason, connections) {
				telemetry.logger.warn('entry.connections_closed', {
					reason,
					connections,
				});
			},
		});
		return CallerIntake.create({
			clock: () => performance.now(),
			capacity: readHostCapacity({memoryBytes: hostMemoryBytes}),
			maxBodyBytes: bodyLimitBytes,
			onClosed(reason) {
				closed.note(reason);
			},
		});
	}

	private _guard(
		app: FastifyInstance,
		readsBody: (req: FastifyRequest) => boolean,
	): void {
		const {telemetry} = this._base;
		ServerGuard.attach(app, {
			intake: this._intake,
			clock: () => performance.now(),
			readsBody,
			response: ({retryAfterMs}) => {
				telemetry.metrics.increment('entry.refused', {
					code: 'overloaded',
					step: 'accept',
				});
				const refusal = refuseNotRun('overloaded', {
					step: 'accept',
					peer: this._settings.hostId,
					message: 'This host keeps too much for its callers.',
					retryAfterMs,
				});
				const {headers, body} = errorResponse(refusal, randomUUID());
				return {headers, body: JSON.stringify(body)};
			},
		});
	}

	private async _createPeerServer(): Promise<FastifyInstance> {
		const {config, transport, incarnation} = this._base;
		const {hostId, zone} = this._settings;
		return createPeerServer({
			transport,
			isReady: () => this._entry.isReady,
			context: {
				identity: () => ({
					id: hostId,
					role: 'entry',
					zone,
					incarnation,
					configVersion: config.announcedVersion(),
				}),
				config,
				rate: this._rate,
				quarantine: {
					reportSuspects: (_peer, fingerprints, bootId) => {
						this._entry.noteSuspects(fingerprints, bootId);
					},
				},
			},
		});
	}

	private async _createOperatorsServer(): Promise<FastifyInstance> {
		const {config, store, membership, telemetry, transport} = this._base;
		const {hostId, environment, headerTimeoutMs, idleTimeoutMs} =
			this._settings;
		const app = transport.createServer('public', {
			bodyLimitBytes: operatorBodyLimitBytes,
			headerTimeoutMs,
			idleTimeoutMs,
		});
		const service = ConfigAuthor.create({
			id: hostId,
			environment,
			clock: Date.now,
			config,
			store,
			membership,
			telemetry,
		});
		const keys = this._operatorKeys;
		const api = OperatorsApi.create({keys, service, telemetry});
		this._guard(app, req => api.readsBody(req));
		await api.register(app);
		return app;
	}

	private _createCallersServer(): FastifyInstance {
		const {config, telemetry, transport} = this._base;
		const app = transport.createServer('public', this._settings);
		const routes = CallersRoutes.create({
			hostId: this._settings.hostId,
			config,
			checkKey,
			telemetry,
			entry: this._entry,
		});
		this._guard(app, req => routes.readsBody(req));
		routes.register(app);
		return app;
	}
}

/** Reads the operators' keys from the setting and from the keys file. */
function readOperatorKeys(
	settings: EntryProcessSettings,
): readonly OperatorKey[] {
	const {operatorKeysFile} = settings;
	const fromFile =
		operatorKeysFile === undefined
			? []
			: operatorKeys.parse(readFileSync(operatorKeysFile, 'utf8'));
	return [...settings.operatorKeys, ...fromFile];
}
