import type {AgentHost, BackendKind, Host} from '@balsamtray/core';
import type {FastifyInstance} from 'fastify';
import {AgentTask} from '../agent/agent-task.js';
import type {AgentProcessSettings} from '../settings/settings.js';
import {listen} from '../transport/transport.js';
import {createPeerServer} from './peer-server.js';
import {createProcessBase, type ProcessBase} from './process-base.js';
import {waitForStop} from './signals.js';

/** Timeout of an adapter load, in milliseconds. */
const loadTimeoutMs = 30_000;

/** Maximum number of requests queued at an agent for each request that its backend server runs at once. */
const maxQueuedPerRunning = 16;

function backendOf(settings: AgentProcessSettings): BackendKind {
	return settings.backendKind === 'engine'
		? {kind: 'engine', baseModel: settings.baseModel ?? ''}
		: {kind: 'service', service: settings.service ?? ''};
}

/** Process of the role agent, which runs beside one backend server. */
export class AgentProcess {
	static create(settings: AgentProcessSettings): AgentProcess {
		return new AgentProcess(settings);
	}

	private readonly _base: ProcessBase;
	private readonly _agent: AgentTask;

	private constructor(private readonly _settings: AgentProcessSettings) {
		this._base = createProcessBase(_settings);
		const {incarnation, config, membership, telemetry} = this._base;
		const {hostId, zone, adapterSlots, coldRunning, maxRunning} = _settings;
		this._agent = AgentTask.create({
			settings: {
				server: hostId,
				zone,
				incarnation,
				backend: backendOf(_settings),
				limits: {
					adapterSlots,
					coldWindow: Math.min(coldRunning, maxRunning),
					maxWindow: maxRunning,
					maxQueued: maxRunning * maxQueuedPerRunning,
					loadTimeoutMs,
				},
			},
			backendUrl: _settings.backendUrl,
			fencingToken: Date.now(),
			config,
			membership,
			telemetry,
			clock: Date.now,
			reportSuspects: (fingerprints, bootId) => {
				this._reportSuspects(fingerprints, bootId);
			},
		});
	}

	/**
	 * Runs until a signal stops the process. The peer port also acts as a lock: a second agent on the host can't bind it
	 * and fails to start.
	 */
	async run(): Promise<void> {
		const {telemetry, membership, config} = this._base;
		const server = await this._createServer();
		const address = await listen(server, this._settings.peerListen);
		const {logger} = telemetry;
		logger.info('agent.listening', {address});
		await membership.start();
		await config.start();
		await this._agent.start();
		void config.ready().then(() => {
			logger.info('agent.ready', {configVersion: config.view().version});
		});
		await waitForStop(
			{
				drain: async () => {
					logger.info('agent.draining');
					await this._agent.drain();
				},
				abort() {
					logger.warn('agent.aborting');
				},
			},
			this._settings.shutdownGraceMs,
		);
		await this._agent.stop();
		await server.close();
		logger.info('agent.stopped');
		await this._base.close();
	}

	private async _createServer(): Promise<FastifyInstance> {
		const {config, transport} = this._base;
		const server = await createPeerServer({
			transport,
			isReady: () => config.isReady(),
			context: {
				identity: () => ({
					id: this._settings.hostId,
					role: 'agent',
					zone: this._settings.zone,
					incarnation: this._base.incarnation,
					configVersion: config.announcedVersion(),
				}),
				config,
				agent: this._agent,
			},
		});
		await this._agent.register(server);
		return server;
	}

	private _reportSuspects(
		fingerprints: readonly string[],
		bootId: string,
	): void {
		const {membership, peerClient, telemetry} = this._base;
		telemetry.logger.warn('backend.crashed', {
			bootId,
			running: fingerprints.length,
		});
		for (const entry of membership.hosts().filter(host => isEntry(host))) {
			void peerClient
				.reportSuspects(entry.peerAddress, fingerprints, bootId)
				.catch(() => {
					telemetry.metrics.increment('agent.suspect_report_failed');
				});
		}
	}
}

function isEntry(host: Host): host is Exclude<Host, AgentHost> {
	return host.role === 'entry';
}
